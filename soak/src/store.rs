//! A simulated platform store: items, history, long-polling watches, and faults.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::timeout;
use wasabicrank_testutils::server::lock;

use crate::http_server::Listening;
use crate::http_server::ResponseBody;
use crate::http_server::listen;

/// Items per page; small, so that lists take several pages.
const PAGE_SIZE: usize = 5;
/// The number of changes that are kept for watches.
const HISTORY_LIMIT: usize = 400;

#[derive(Default)]
struct Items {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Changes, oldest first; a removal has no value.
    history: VecDeque<(u64, String, Option<Vec<u8>>)>,
    /// Changes up to this revision have been compacted.
    compacted: u64,
    is_busy: bool,
}

/// The store; clones share its items.
#[derive(Clone, Default)]
pub(crate) struct Store {
    items: Arc<Mutex<Items>>,
    changed: Arc<Notify>,
}

impl Store {
    /// Serves the store on a free port of the loopback address.
    pub(crate) async fn serve(&self) -> io::Result<Listening> {
        let store = self.clone();
        listen(SocketAddr::from(([127, 0, 0, 1], 0)), move |request| {
            let store = store.clone();
            Box::pin(async move { store.handle(request).await })
        })
        .await
    }

    /// Writes an item, or removes it.
    pub(crate) fn write(&self, key: &str, value: Option<&Value>) {
        let mut items = lock(&self.items);
        items.revision += 1;
        let revision = items.revision;
        let bytes = value.map(|value| value.to_string().into_bytes());
        match &bytes {
            Some(bytes) => items.items.insert(key.to_owned(), (bytes.clone(), revision)),
            None => items.items.remove(key),
        };
        items.history.push_back((revision, key.to_owned(), bytes));
        while items.history.len() > HISTORY_LIMIT {
            let first = items.history.pop_front();
            items.compacted = first.map_or(items.compacted, |(revision, ..)| revision);
        }
        drop(items);
        self.changed.notify_waiters();
    }

    /// Discards the history, so that watches behind the current revision must restart.
    pub(crate) fn compact(&self) {
        let mut items = lock(&self.items);
        items.history.clear();
        items.compacted = items.revision;
    }

    /// Sets whether the store rejects all requests.
    pub(crate) fn set_busy(&self, is_busy: bool) {
        lock(&self.items).is_busy = is_busy;
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let query = query(request.uri().query().unwrap_or_default());
        if lock(&self.items).is_busy {
            return respond(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        match request.uri().path() {
            "/kv-key" => self.read(&field("key")),
            "/kv-range" => self.range(&field("prefix"), &field("after")),
            "/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("wait_ms").parse().unwrap_or(0);
                self.watch(&field("prefix"), after, Duration::from_millis(wait)).await
            }
            _ => respond(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn read(&self, key: &str) -> Response<ResponseBody> {
        let items = lock(&self.items);
        let Some((bytes, revision)) = items.items.get(key) else {
            return respond(StatusCode::NOT_FOUND, &json!({ "at": items.revision }));
        };
        let mut body = item(key, Some(bytes), *revision);
        body["at"] = items.revision.into();
        respond(StatusCode::OK, &body)
    }

    fn range(&self, prefix: &str, after: &str) -> Response<ResponseBody> {
        let items = lock(&self.items);
        let mut found = items
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, (bytes, revision))| item(key, Some(bytes), *revision));
        let page: Vec<Value> = found.by_ref().take(PAGE_SIZE).collect();
        let has_more = found.next().is_some();
        let body = json!({ "items": page, "has_more": has_more, "at": items.revision });
        respond(StatusCode::OK, &body)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Response<ResponseBody> {
        let events = async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                // Enabled before the changes are read, so that no change in between is missed.
                changed.as_mut().enable();
                match self.changes(prefix, after) {
                    Some(found) if found.is_empty() => changed.await,
                    other => return other,
                }
            }
        };
        let events = timeout(wait, events).await.unwrap_or(Some(Vec::new()));
        let Some(events) = events else { return respond(StatusCode::GONE, &json!({})) };
        let at = match events.last() {
            Some(last) => last["revision"].as_u64().unwrap_or(after),
            None => after,
        };
        respond(StatusCode::OK, &json!({ "events": events, "at": at }))
    }

    /// Returns the changes after a revision, or `None` if some have been compacted.
    fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        let items = lock(&self.items);
        if after < items.compacted {
            return None;
        }
        let is_new = |change: &&(u64, String, Option<Vec<u8>>)| {
            change.0 > after && change.1.starts_with(prefix)
        };
        let changes = items.history.iter().filter(is_new);
        Some(changes.map(|(revision, key, value)| item(key, value.as_ref(), *revision)).collect())
    }
}

fn item(key: &str, value: Option<&Vec<u8>>, revision: u64) -> Value {
    match value {
        Some(bytes) => json!({
            "key": key, "value": STANDARD.encode(bytes), "revision": revision, "created": 1, "lease": 0,
        }),
        None => json!({ "key": key, "revision": revision, "deleted": true }),
    }
}

fn respond(status: StatusCode, body: &Value) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(Full::new(Bytes::from(body.to_string()))));
    *response.status_mut() = status;
    response
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
