//! Prints the reference of the settings, as it appears in docs/SETTINGS.md.

fn main() {
    print!("{}", apricotwell_entry::settings_reference());
}
