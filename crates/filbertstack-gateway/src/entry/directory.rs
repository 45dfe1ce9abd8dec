//! Where callers connect, and whether this node is ready.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_platform::directory::MOST_ADDRESSES;
use filbertstack_platform::directory::Place;
use filbertstack_platform::directory::answer;
use filbertstack_platform::directory::asks_ready;
use filbertstack_platform::directory::read;
use filbertstack_policy::subset::hash;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use tokio::sync::watch;

use crate::control::api::json_response;
use crate::control::node::Node;
use crate::entry::server::Service;
use crate::link::messages::Kind;
use crate::link::messages::addr;
use crate::request::answer::AnswerBody;

/// How long callers keep an answer: a lost entry is out of use that much later, and each caller
/// asks that often.
const KEEP: Duration = Duration::from_secs(2);

/// The fewest entries of a caller's zone that are named without those of other zones: two, so
/// that the loss of one leaves another at hand.
const ENOUGH: usize = 2;

/// Serves the directory and the question whether the node is ready.
pub struct Directory {
    node: Rc<Node>,
    leaving: watch::Receiver<bool>,
}

impl Directory {
    /// The directory of what `node` knows.
    pub fn new(node: Rc<Node>, leaving: watch::Receiver<bool>) -> Self {
        Self { node, leaving }
    }

    fn is_ready(&self) -> bool {
        !*self.leaving.borrow() && self.node.declared.is_loaded() && self.node.is_current()
    }

    /// The entries for a caller, those of its zone if there are enough. The order differs from
    /// node to node, so that callers who take the first do not all take the same.
    fn addrs(&self, place: &Place) -> Vec<SocketAddr> {
        let rows = self.node.registry.present();
        let entries = rows.iter().filter_map(|(_, kind, _)| match &**kind {
            Kind::Entry(entry) if !entry.leaving => Some(entry),
            _ => None,
        });
        let entries: Vec<_> = entries.collect();
        let near = entries.iter().filter(|e| e.zone == place.zone).count();
        let own = &self.node.settings.node.name;
        let mut addrs: Vec<SocketAddr> = entries
            .iter()
            .filter(|e| near < ENOUGH || e.zone == place.zone)
            .filter_map(|e| addr(&e.front))
            .collect();
        addrs.sort_by_key(|addr| hash(&format!("{own} {addr}")));
        addrs.truncate(MOST_ADDRESSES);
        // A node that knows of nobody still serves itself.
        if addrs.is_empty() && !*self.leaving.borrow() {
            addrs.extend(self.node.settings.listen.front);
        }
        addrs
    }
}

impl Service for Directory {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let (method, uri) = (request.method(), request.uri());
        let empty = Bytes::from_static(b"{}");
        if asks_ready(method, uri.path()) {
            let status = if self.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return json_response(status, empty);
        }
        let Some(place) = read(method, uri.path(), uri.query().unwrap_or_default()) else {
            return json_response(StatusCode::NOT_FOUND, empty);
        };
        let addrs = self.addrs(&place);
        if addrs.is_empty() || !self.node.declared.is_loaded() {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, empty);
        }
        let keep = KEEP.min(self.node.settings.bounds.keep);
        json_response(StatusCode::OK, answer(&addrs, keep))
    }

    fn head_limit(&self) -> usize {
        16 << 10
    }

    fn idle(&self) -> Duration {
        Duration::from_secs(30)
    }
}
