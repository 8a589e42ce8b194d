//! Cross-origin rules (CORS) that let the operators' page of one entry host read from another one.
//!
//! A browser passes a response to a page of another origin only if the response allows it. Origins with
//! an IP address of a private network are allowed. Sites on the internet are not, so that they cannot
//! read the fleet's state through an operator's browser.

use std::convert::Infallible;
use std::io::Cursor;
use std::net::IpAddr;
use std::net::SocketAddr;

use rocket::Request;
use rocket::http::ContentType;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use rocket::response::Responder;
use rocket::response::Response;

/// The origin of the requesting page, if it may read the response.
pub(crate) struct AllowedOrigin(Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for AllowedOrigin {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let origin = request.headers().get_one("origin");
        Outcome::Success(AllowedOrigin(origin.filter(|text| is_private(text)).map(str::to_owned)))
    }
}

/// A JSON response that a page of an allowed origin may read.
pub(crate) struct SharedJson {
    /// The JSON body.
    pub(crate) body: String,
    /// The origin that may read it in addition to pages of this host.
    pub(crate) origin: AllowedOrigin,
}

impl<'r> Responder<'r, 'static> for SharedJson {
    fn respond_to(self, _request: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        response.header(ContentType::JSON).raw_header("cache-control", "no-store");
        if let AllowedOrigin(Some(origin)) = self.origin {
            response.raw_header("access-control-allow-origin", origin).raw_header("vary", "origin");
        }
        response.sized_body(self.body.len(), Cursor::new(self.body)).ok()
    }
}

/// Returns whether `origin` has an IP address of a private network, with or without a port.
fn is_private(origin: &str) -> bool {
    let Some(host) = origin.strip_prefix("http://") else { return false };
    let with_port = host.parse::<SocketAddr>().map(|addr| addr.ip());
    match with_port.or_else(|_| host.parse::<IpAddr>()) {
        Ok(IpAddr::V4(ip)) => ip.is_private() || ip.is_loopback() || ip.is_link_local(),
        Ok(IpAddr::V6(ip)) => ip.is_unique_local() || ip.is_loopback(),
        Err(_) => false,
    }
}
