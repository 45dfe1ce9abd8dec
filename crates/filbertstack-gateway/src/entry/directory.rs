//! The directory of entries for callers, and the readiness check of this node.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_platform::directory::CallerLocation;
use filbertstack_platform::directory::MAX_ADDRESSES;
use filbertstack_platform::directory::address_list;
use filbertstack_platform::directory::is_readiness_check;
use filbertstack_platform::directory::read_query;
use filbertstack_policy::residency::Place;
use filbertstack_policy::residency::find_scope;
use filbertstack_policy::subset::hash;
use http::Request;
use http::Response;
use http::StatusCode;
use tokio::sync::watch;

use crate::control::api::json_response;
use crate::control::node::Node;
use crate::entry::server::Service;
use crate::link::messages::Kind;
use crate::link::messages::decode_addr;
use crate::meter::Received;
use crate::request::answer::AnswerBody;

/// How long callers keep an answer. They may use a lost entry for that long, and each caller asks
/// again after that time.
const CACHE_TIME: Duration = Duration::from_secs(2);

/// Serves the directory and the readiness check.
pub struct Directory {
    node: Rc<Node>,
    leaving: watch::Receiver<bool>,
}

impl Directory {
    /// Creates the directory of the entries that `node` knows.
    pub fn new(node: Rc<Node>, leaving: watch::Receiver<bool>) -> Self {
        Self { node, leaving }
    }

    fn is_ready(&self) -> bool {
        !*self.leaving.borrow() && self.node.declared.is_loaded() && self.node.is_current()
    }

    fn place<'a>(&'a self, zone: &'a str) -> Place<'a> {
        Place {
            zone,
            region: self.node.settings.region(zone).map(|region| &**region),
        }
    }

    /// Returns where a caller is. If it does not name its region, its zone tells it.
    fn caller_place<'a>(&'a self, location: &'a CallerLocation) -> Place<'a> {
        let place = self.place(&location.zone);
        let named = Some(location.region.as_str()).filter(|region| !region.is_empty());
        Place {
            region: named.or(place.region),
            ..place
        }
    }

    /// Returns the addresses of the entries for a caller: those of its zone if there are enough, or else those
    /// of a wider [scope](filbertstack_policy::residency::Scope). Each node returns them in a different order, so that callers that use the first address
    /// spread over the entries.
    fn addrs(&self, location: &CallerLocation) -> Vec<SocketAddr> {
        let rows = self.node.registry.present();
        let entries = rows.iter().filter_map(|(_, kind, _)| match &**kind {
            Kind::Entry(entry) if !entry.leaving => Some(entry),
            _ => None,
        });
        let entries: Vec<_> = entries.collect();
        let caller = self.caller_place(location);
        let host = self
            .node
            .declared
            .catalogue()
            .host_residency(&location.host);
        let places: Vec<_> = entries.iter().map(|e| self.place(&e.zone)).collect();
        let scope = find_scope(&places, caller, &host);
        let own = &self.node.settings.node.name;
        let mut addrs: Vec<SocketAddr> = entries
            .iter()
            .filter(|e| scope.includes(self.place(&e.zone), caller, &host))
            .filter_map(|e| decode_addr(&e.front))
            .collect();
        addrs.sort_by_key(|addr| hash(&format!("{own} {addr}")));
        addrs.truncate(MAX_ADDRESSES);
        // A node that knows no entry names itself.
        if addrs.is_empty() && !*self.leaving.borrow() {
            addrs.extend(self.node.settings.listen.front);
        }
        addrs
    }
}

impl Service for Directory {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Received>) -> Response<AnswerBody> {
        let (method, uri) = (request.method(), request.uri());
        let empty = Bytes::from_static(b"{}");
        if is_readiness_check(method, uri.path()) {
            let status = if self.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return json_response(status, empty);
        }
        let Some(location) = read_query(method, uri.path(), uri.query().unwrap_or_default()) else {
            return json_response(StatusCode::NOT_FOUND, empty);
        };
        let addrs = self.addrs(&location);
        if addrs.is_empty() || !self.node.declared.is_loaded() {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, empty);
        }
        let keep = CACHE_TIME.min(self.node.settings.bounds.keep);
        json_response(StatusCode::OK, address_list(&addrs, keep))
    }

    fn head_limit(&self) -> usize {
        16 << 10
    }

    fn idle_timeout(&self) -> Duration {
        Duration::from_secs(30)
    }
}
