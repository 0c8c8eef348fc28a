use super::{explained_keys, known_keys, settings_reference};

#[test]
fn reference_explains_every_key_and_no_other() {
    assert_eq!(explained_keys(), known_keys());
}

#[test]
fn settings_page_holds_the_reference() {
    let page = include_str!("../../../../docs/SETTINGS.md");
    let reference = settings_reference();
    assert!(
        page.contains(&reference),
        "docs/SETTINGS.md must contain:\n{reference}"
    );
}
