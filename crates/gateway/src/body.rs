//! Reading of request bodies within their limits.

use crate::{Code, Limits, Problem};
use actix_web::web::{Bytes, BytesMut, Payload};
use futures_util::StreamExt;

/// Reads the whole body.
///
/// # Errors
/// Returns a [`Problem`] if the body is too large, too slow or truncated.
pub async fn read(mut payload: Payload, limits: &Limits) -> Result<Bytes, Problem> {
    let all = async {
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|e| {
                Problem::before_send(Code::InvalidRequest, format!("the request body was truncated: {e}"))
            })?;
            if body.len() + part.len() > limits.max_body_bytes {
                let message = format!("the request body has more than {} bytes", limits.max_body_bytes);
                return Err(Problem::before_send(Code::BodyTooLarge, message));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    };
    let slow = || Problem::before_send(Code::BodyTooSlow, "the request body was not received in time");
    tokio::time::timeout(limits.body_timeout, all).await.unwrap_or_else(|_| Err(slow()))
}
