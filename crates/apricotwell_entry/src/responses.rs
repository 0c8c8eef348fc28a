//! Responses that the daemon generates itself.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use serde::Serialize;
use serde_json::json;

use apricotwell_claims::RecordedAnswer;
use apricotwell_types::Refusal;

#[derive(Serialize)]
struct ErrorBody<'a> {
    message: &'a str,
    r#type: &'static str,
    param: Option<&'static str>,
    code: &'static str,
    outcome: &'static str,
}

/// Returns the JSON body of a refusal.
pub(crate) fn error_body(refusal: &Refusal) -> String {
    let error = ErrorBody {
        message: &refusal.message,
        r#type: refusal.kind.error_type(),
        param: None,
        code: refusal.kind.code(),
        outcome: refusal.outcome.as_str(),
    };
    json!({ "error": error }).to_string()
}

/// Returns the response to a refused request.
pub(crate) fn refusal(refusal: &Refusal) -> HttpResponse {
    let status = StatusCode::from_u16(refusal.kind.status());
    let mut response = HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    response
        .content_type("application/json")
        .insert_header(("x-outcome", refusal.outcome.as_str()));
    if let Some(after) = refusal.retry_after {
        // Whole seconds, rounded up, so that a client that retries then is not too early.
        let seconds = after.as_millis().div_ceil(1000).max(1);
        response.insert_header(("retry-after", seconds.to_string()));
    }
    response.body(error_body(refusal))
}

/// Returns the recorded answer to a repeated request.
pub(crate) fn replay(answer: RecordedAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    HttpResponse::build(status)
        .insert_header(("content-type", answer.content_type))
        .insert_header(("x-replayed", "true"))
        .body(answer.body)
}
