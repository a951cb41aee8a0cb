//! Identification of callers, their class and the request options.

use crate::{Code, Limits, Problem, Snapshot, CLASS_HEADER, KEY_HEADER, REPEATABLE_HEADER};
use actix_web::http::header::HeaderMap;
use catalog::{Class, ClassId, CustomerId};
use std::time::{SystemTime, UNIX_EPOCH};

/// A caller identified by its headers.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Id of the customer.
    pub customer: CustomerId,
    /// Metric label of the customer.
    pub label: String,
    /// Class of the request.
    pub class: Class,
    /// True if the request may be sent again after a failure.
    pub repeatable: bool,
    /// Key of the request, if it has one.
    pub key: Option<RequestKey>,
}

/// Key chosen by the caller for a request, to detect repeated deliveries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey {
    /// Hash of customer and key.
    pub hash: u64,
    /// Age of the key, known for UUIDs of version 7.
    pub age_ms: Option<u64>,
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

impl Caller {
    /// Identifies a caller.
    ///
    /// # Errors
    /// Returns a [`Problem`] for an unknown API key, an unknown class or a class that the customer may not use.
    pub fn identify(headers: &HeaderMap, snapshot: &Snapshot, limits: &Limits) -> Result<Self, Problem> {
        let bearer = header(headers, "authorization").and_then(|v| v.strip_prefix("Bearer "));
        let api_key = bearer.or_else(|| header(headers, "x-api-key"));
        let found = api_key.and_then(|key| snapshot.catalog.customer_by_api_key(key.trim()));
        let Some((index, customer)) = found else {
            return Err(Problem::before_send(Code::InvalidApiKey, "no customer has this API key"));
        };
        let wanted = header(headers, CLASS_HEADER).unwrap_or(&customer.default_class);
        let Some(class) = snapshot.catalog.class_index(wanted) else {
            return Err(Problem::before_send(Code::UnknownClass, format!("there is no class '{wanted}'")));
        };
        if !customer.classes.iter().any(|c| c == wanted) {
            return Err(Problem::before_send(
                Code::ClassNotAllowed,
                format!("this customer may not use the class '{wanted}'"),
            ));
        }
        Ok(Self {
            customer: CustomerId::of(&customer.name),
            label: snapshot.labels.get(index).cloned().unwrap_or_default(),
            class: snapshot.catalog.classes[class].clone(),
            repeatable: header(headers, REPEATABLE_HEADER) != Some("no"),
            key: request_key(headers, &customer.name, limits)?,
        })
    }

    /// Returns the id of the class.
    #[must_use]
    pub fn class_id(&self) -> ClassId {
        ClassId::of(&self.class.name)
    }
}

fn request_key(headers: &HeaderMap, customer: &str, limits: &Limits) -> Result<Option<RequestKey>, Problem> {
    let Some(key) = headers.get(KEY_HEADER) else { return Ok(None) };
    let key = key.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > limits.max_key_bytes {
        let message = format!("{KEY_HEADER} must have 1 to {} visible characters", limits.max_key_bytes);
        return Err(Problem::before_send(Code::InvalidRequest, message));
    }
    let digest = catalog::Digest::of(format!("{customer}\n{key}").as_bytes());
    let mut short = [0; 8];
    short.copy_from_slice(&digest.0[..8]);
    let made = uuid_v7_ms(key);
    let age_ms = made.map(|made| unix_ms().saturating_sub(made));
    Ok(Some(RequestKey { hash: u64::from_le_bytes(short), age_ms }))
}

/// Returns the creation time of a UUID of version 7 in milliseconds of Unix time, or `None` for any other key.
fn uuid_v7_ms(key: &str) -> Option<u64> {
    let digits: String = key.chars().filter(|c| *c != '-').collect();
    let is_v7 = key.len() == 36 && digits.len() == 32 && digits.as_bytes()[12] == b'7';
    if !is_v7 || !digits.is_ascii() {
        return None;
    }
    u64::from_str_radix(&digits[..12], 16).ok()
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
