//! Reading of request bodies within their limits.

use crate::{App, Code, Problem};
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::web::{Bytes, BytesMut, Payload};
use actix_web::HttpRequest;
use futures_util::StreamExt;
use memory::Reservation;

/// Size up to which a body counts as small.
pub const SMALL_BODY_BYTES: usize = 16 << 10;

/// Steps in which the memory of a body of known length is counted.
const STEP_BYTES: usize = 4 << 10;

/// Retry delay for callers whose body found no memory.
const MEMORY_RETRY_MS: u32 = 1_000;

/// A request body with its share of the memory.
pub(crate) struct Body {
    pub(crate) bytes: Bytes,
    /// Held until the request has ended.
    pub(crate) reservation: Reservation,
}

/// Reads the whole body.
///
/// # Errors
/// Returns a [`Problem`] if the body is too large, too slow or truncated, or if there is no memory for it.
pub(crate) async fn read(request: &HttpRequest, mut payload: Payload, app: &App) -> Result<Body, Problem> {
    let limits = &app.limits;
    let stated = request.headers().get(CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.parse().ok());
    let too_large = || {
        let message = format!("the request body has more than {} bytes", limits.max_body_bytes);
        Problem::before_send(Code::BodyTooLarge, message)
    };
    if stated.is_some_and(|bytes: usize| bytes > limits.max_body_bytes) {
        return Err(too_large());
    }
    let all = async {
        // Address space only: a page takes memory once it is written to.
        let mut bytes = BytesMut::with_capacity(stated.unwrap_or(0));
        let mut reservation = Reservation::new(&app.body_memory);
        while let Some(part) = payload.next().await {
            let part = part.map_err(|e| {
                Problem::before_send(Code::InvalidRequest, format!("the request body was truncated: {e}"))
            })?;
            if bytes.len() + part.len() > limits.max_body_bytes {
                return Err(too_large());
            }
            let needed = bytes.len() + part.len();
            // A buffer of unknown length doubles, and is copied then.
            let memory =
                if stated.is_some() { needed.next_multiple_of(STEP_BYTES) } else { needed.next_power_of_two() };
            if memory > reservation.bytes() && !reservation.grow(memory - reservation.bytes()) {
                let message = "other request bodies take all memory for them";
                return Err(Problem::before_send(Code::NotReady, message).with_retry_ms(MEMORY_RETRY_MS));
            }
            bytes.extend_from_slice(&part);
        }
        Ok(Body { bytes: bytes.freeze(), reservation })
    };
    let slow = || Problem::before_send(Code::BodyTooSlow, "the request body was not received in time");
    tokio::time::timeout(limits.body_timeout, all).await.unwrap_or_else(|_| Err(slow()))
}
