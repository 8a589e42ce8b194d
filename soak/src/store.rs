//! A simulated platform store: items, history, long-polling watches, and faults. It can be restored
//! from a copy of some time ago.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

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

/// A change of an item; a removal has no value.
#[derive(Clone)]
pub(crate) struct Write {
    at: Instant,
    revision: u64,
    pub(crate) key: String,
    pub(crate) value: Option<Vec<u8>>,
}

#[derive(Default)]
struct Items {
    /// How often the store was restored from an older copy, plus one.
    era: u64,
    /// All changes that were not lost, oldest first.
    log: Vec<Write>,
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Changes, oldest first; a removal has no value.
    history: VecDeque<(u64, String, Option<Vec<u8>>)>,
    /// Changes up to this revision have been compacted.
    compacted: u64,
    is_busy: bool,
}

/// The store; clones share its items.
#[derive(Clone)]
pub(crate) struct Store {
    items: Arc<Mutex<Items>>,
    changed: Arc<Notify>,
}

impl Default for Store {
    fn default() -> Store {
        let items = Items { era: 1, ..Items::default() };
        Store { items: Arc::new(Mutex::new(items)), changed: Arc::default() }
    }
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
        let bytes = value.map(|value| value.to_string().into_bytes());
        lock(&self.items).write(key, bytes);
        self.changed.notify_waiters();
    }

    /// Restores the copy of `age` ago, in a new era; returns the changes that are lost, oldest first.
    /// A watch that waits is neither answered nor closed.
    pub(crate) fn rewind(&self, age: Duration) -> Vec<Write> {
        let mut items = lock(&self.items);
        let is_kept = |write: &Write| write.at.elapsed() >= age;
        let kept = items.log.iter().take_while(|write| is_kept(write)).count();
        let lost = items.log.split_off(kept);
        items.revision = items.log.last().map_or(0, |write| write.revision);
        items.era += 1;
        let revision = items.revision;
        items.history.retain(|(changed, ..)| *changed <= revision);
        items.compacted = items.compacted.min(revision);
        let mut copy = BTreeMap::new();
        for write in &items.log {
            match &write.value {
                Some(value) => copy.insert(write.key.clone(), (value.clone(), write.revision)),
                None => copy.remove(&write.key),
            };
        }
        items.items = copy;
        lost
    }

    /// Returns the current revision.
    pub(crate) fn revision(&self) -> u64 {
        lock(&self.items).revision
    }

    /// Writes a lost change again, unless the item was written after the revision `copied`.
    pub(crate) fn restore(&self, lost: &Write, copied: u64) {
        let mut items = lock(&self.items);
        let is_newer = |write: &Write| write.key == lost.key && write.revision > copied;
        if !items.log.iter().any(is_newer) {
            items.write(&lost.key, lost.value.clone());
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
            let items = lock(&self.items);
            return respond(&items, StatusCode::SERVICE_UNAVAILABLE, &json!({}));
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
            _ => respond(&lock(&self.items), StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn read(&self, key: &str) -> Response<ResponseBody> {
        let items = lock(&self.items);
        let Some((bytes, revision)) = items.items.get(key) else {
            return respond(&items, StatusCode::NOT_FOUND, &json!({ "at": items.revision }));
        };
        let mut body = item(key, Some(bytes), *revision);
        body["at"] = items.revision.into();
        respond(&items, StatusCode::OK, &body)
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
        respond(&items, StatusCode::OK, &body)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Response<ResponseBody> {
        let events = async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                // Enabled before the changes are read, so that no change in between is missed.
                changed.as_mut().enable();
                match self.changes(prefix, after) {
                    None => changed.await,
                    Some(response) => return response,
                }
            }
        };
        if after > self.revision() {
            return respond(&lock(&self.items), StatusCode::GONE, &json!({}));
        }
        match timeout(wait, events).await {
            Ok(response) => response,
            Err(_) => {
                let body = json!({ "events": [], "at": after });
                respond(&lock(&self.items), StatusCode::OK, &body)
            }
        }
    }

    /// Returns the response with the changes after a revision, if there are any or some have been
    /// compacted.
    fn changes(&self, prefix: &str, after: u64) -> Option<Response<ResponseBody>> {
        let items = lock(&self.items);
        if after < items.compacted {
            return Some(respond(&items, StatusCode::GONE, &json!({})));
        }
        let is_new = |change: &&(u64, String, Option<Vec<u8>>)| {
            change.0 > after && change.1.starts_with(prefix)
        };
        let changes: Vec<&(u64, String, Option<Vec<u8>>)> =
            items.history.iter().filter(is_new).collect();
        let at = changes.last()?.0;
        let events: Vec<Value> = changes
            .into_iter()
            .map(|(revision, key, value)| item(key, value.as_ref(), *revision))
            .collect();
        Some(respond(&items, StatusCode::OK, &json!({ "events": events, "at": at })))
    }
}

impl Items {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.revision += 1;
        let revision = self.revision;
        match &value {
            Some(bytes) => self.items.insert(key.to_owned(), (bytes.clone(), revision)),
            None => self.items.remove(key),
        };
        let key = key.to_owned();
        self.log.push(Write {
            at: Instant::now(),
            revision,
            key: key.clone(),
            value: value.clone(),
        });
        self.history.push_back((revision, key, value));
        while self.history.len() > HISTORY_LIMIT {
            let first = self.history.pop_front();
            self.compacted = first.map_or(self.compacted, |(revision, ..)| revision);
        }
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

fn respond(items: &Items, status: StatusCode, body: &Value) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(Full::new(Bytes::from(body.to_string()))));
    *response.status_mut() = status;
    response.headers_mut().insert("store-era", items.era.into());
    response
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
