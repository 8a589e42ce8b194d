//! Heads of responses and forwarded requests: the gateway's own refusals, and removal of hop-by-hop
//! header fields.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use super::context::GatewayContext;
use super::response_body::ResponseBody;
use crate::coordination::GatewayRefusal;

/// Hop-by-hop header fields, which apply to one connection only.
const CONNECTION_FIELDS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the response for a refusal.
pub(crate) fn refusal_response(
    ctx: &GatewayContext,
    refusal: &GatewayRefusal,
) -> Response<ResponseBody> {
    let text = format!("{{\"reason\":\"{}\"}}", refusal.reason.name());
    let mut response = Response::new(ResponseBody::whole(text));
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

/// Makes the caller close the connection while the process stops, so that it connects to another host.
pub(crate) fn close_if_stopping(ctx: &GatewayContext, fields: &mut HeaderMap) {
    if ctx.is_stopping() {
        fields.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Removes the hop-by-hop fields and the body's length, which the HTTP library sets from the body.
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
