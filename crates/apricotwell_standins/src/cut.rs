//! Responses that are framed in a chosen way and broken off.

use std::io;
use std::pin::Pin;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::body::{BodySize, BodyStream, MessageBody};
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::web::Bytes;
use futures_util::{Stream, StreamExt, stream};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// Time for sending the first bytes before the connection is aborted, which discards unsent ones.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Framing {
    Length,
    Chunked,
    Close,
}

/// Responses to break off, as received by `POST /faults`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Cut {
    /// Framing of the responses.
    framing: Framing,
    /// Number of body bytes after which the connection closes; a shorter body is sent whole.
    after: usize,
    /// Number of upcoming responses.
    responses: u32,
}

/// Bytes that a response without an end sends at a time.
const ENDLESS_BLOCK: usize = 16 << 10;

/// Returns a response with the head of another one and a body that has no end, nor a line.
pub(crate) fn without_end(response: HttpResponse) -> HttpResponse {
    let block = Bytes::from(vec![b'x'; ENDLESS_BLOCK]);
    let blocks = stream::repeat_with(move || Ok::<_, io::Error>(block.clone()));
    let (mut response, _) = response.into_parts();
    response.headers_mut().remove(CONTENT_LENGTH);
    response
        .set_body(BodyStream::new(blocks))
        .map_into_boxed_body()
}

/// Cuts a response if `cut` says so, and counts it.
pub(crate) fn apply(cut: &mut Option<Cut>, response: HttpResponse) -> HttpResponse {
    match cut {
        Some(cut) if cut.responses > 0 => {
            cut.responses -= 1;
            cut_response(*cut, response)
        }
        _ => response,
    }
}

fn cut_response(cut: Cut, response: HttpResponse) -> HttpResponse {
    let (response, body) = response.into_parts();
    let length = match body.size() {
        BodySize::Sized(length) => length,
        // A stream's length is unknown; this one is longer than what is sent of it.
        _ => cut.after as u64 + 1,
    };
    let body = Box::pin(body);
    let chunks = stream::unfold(body, |mut body| async move {
        let chunk = std::future::poll_fn(|cx| body.as_mut().poll_next(cx)).await?;
        let chunk = chunk.map_err(|error| io::Error::other(error.to_string()));
        Some((chunk, body))
    });
    let mut builder = HttpResponse::build(response.status());
    for header in response.headers() {
        builder.append_header(header);
    }
    builder.force_close();
    if cut.framing == Framing::Length {
        builder.no_chunking(length);
    }
    let mut response = builder.streaming(cut_chunks(cut, Box::pin(chunks)));
    if cut.framing == Framing::Close {
        response.headers_mut().remove(CONTENT_LENGTH);
        response.head_mut().no_chunking(true);
    }
    response
}

// Passes on the first bytes of a body. If the end of the body is marked, the stream then fails, so that
// the connection closes without that mark.
fn cut_chunks<S>(cut: Cut, chunks: Pin<Box<S>>) -> impl Stream<Item = io::Result<Bytes>> + use<S>
where
    S: Stream<Item = io::Result<Bytes>>,
{
    stream::unfold(Some((chunks, cut.after)), move |state| async move {
        let (mut chunks, left) = state?;
        if left == 0 && cut.framing == Framing::Close {
            return None;
        }
        if left == 0 {
            sleep(FLUSH_DELAY).await;
            return Some((Err(io::Error::other("cut by an injected fault")), None));
        }
        let mut chunk = match chunks.next().await? {
            Ok(chunk) => chunk,
            Err(error) => return Some((Err(error), None)),
        };
        chunk.truncate(left);
        let left = left - chunk.len();
        Some((Ok(chunk), Some((chunks, left))))
    })
}
