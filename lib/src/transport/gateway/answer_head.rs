//! Heads of answers and sends: refusals of the gateway's own, and the fields that concern one
//! connection only.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use super::answer_body::AnswerBody;
use super::context::GatewayContext;
use crate::coordination::GatewayRefusal;

/// Header fields that concern one connection only.
const CONNECTION_FIELDS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Makes the answer that tells a refusal.
pub(crate) fn refusal_response(
    ctx: &GatewayContext,
    refusal: &GatewayRefusal,
) -> Response<AnswerBody> {
    let text = format!("{{\"reason\":\"{}\"}}", refusal.reason.name());
    let mut response = Response::new(AnswerBody::whole(text));
    *response.status_mut() =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = refusal.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            fields.insert(header::RETRY_AFTER, value);
        }
    }
    close_if_stopping(ctx, fields);
    response
}

/// Asks the caller to open its next connection elsewhere while the process stops.
pub(crate) fn close_if_stopping(ctx: &GatewayContext, fields: &mut HeaderMap) {
    if ctx.is_stopping() {
        fields.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Removes the fields that concern one connection only, and the body's length, which the body
/// itself tells.
pub(crate) fn strip_connection_fields(fields: &mut HeaderMap) {
    let named: Vec<HeaderName> = fields
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_FIELDS) {
        fields.remove(name);
    }
    fields.remove("keep-alive");
    fields.remove("proxy-connection");
    fields.remove(header::CONTENT_LENGTH);
}
