//! A plain service with bookings, which may run once only, and lookups, which may be repeated.
//!
//! Every answer echoes the request ([`echo`]), so that a caller can verify that the answer is its own.
//! `GET /admin/runs` returns [`Runs`], `POST /admin/faults` takes [`ServiceFaults`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error::StandinError;
use crate::http::ANY_ADDR;
use crate::http::Call;
use crate::http::Handler;
use crate::http::HttpServer;
use crate::http::Reply;
use crate::runs::RunLog;
use crate::runs::Runs;

/// The settings of a [`Service`].
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// The address to listen on.
    pub addr: SocketAddr,
    /// The service's name, which every answer contains.
    pub name: String,
    /// The processing time of a call.
    pub latency: Duration,
    /// The faults to inject from the start.
    pub faults: ServiceFaults,
}

impl ServiceConfig {
    /// Returns settings of a service at any free port that answers without delay.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            addr: ANY_ADDR,
            name: name.into(),
            latency: Duration::ZERO,
            faults: ServiceFaults::default(),
        }
    }
}

/// Faults to inject; each count applies to that many of the next calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// The connection closes before the call runs.
    pub cut_before: u32,
    /// The call runs and the connection closes before the answer.
    pub cut_after: u32,
    /// The call runs and the answer has status 500.
    pub fail: u32,
    /// The delay added to every call, in milliseconds.
    pub slow_ms: u64,
}

/// Decrements a fault count; returns whether it was above zero.
fn take_one(left: &mut u32) -> bool {
    let available = *left > 0;
    *left = left.saturating_sub(1);
    available
}

/// The body of every answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The service's name.
    pub service: String,
    /// The method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The request's body.
    pub body: String,
}

/// Returns the body with which the service `name` answers a request.
pub fn echo(name: &str, method: &str, path: &str, body: &str) -> Vec<u8> {
    let echo = Echo {
        service: name.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        body: body.to_owned(),
    };
    serde_json::to_vec(&echo).unwrap_or_default()
}

/// A running service; dropping it stops it.
pub struct Service {
    responder: Arc<Responder>,
    server: HttpServer,
}

impl Service {
    /// Starts the service.
    ///
    /// # Errors
    /// [`StandinError::Bind`] if the address cannot be bound.
    pub fn start(config: ServiceConfig) -> Result<Self, StandinError> {
        let responder = Arc::new(Responder {
            name: config.name,
            latency: config.latency,
            runs: RunLog::default(),
            faults: Mutex::new(config.faults),
        });
        let server = HttpServer::start(config.addr, responder.clone())?;
        Ok(Self { responder, server })
    }

    /// Returns the address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the record of the calls that ran.
    pub fn runs(&self) -> Runs {
        self.responder.runs.read()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.responder.set_faults(faults);
    }

    /// Stops the service, as dropping it does.
    pub fn stop(self) {}
}

struct Responder {
    name: String,
    latency: Duration,
    runs: RunLog,
    faults: Mutex<ServiceFaults>,
}

impl Responder {
    fn set_faults(&self, faults: ServiceFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns the faults of the next call and decrements their counts.
    fn take_faults(&self) -> ServiceFaults {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        ServiceFaults {
            cut_before: take_one(&mut faults.cut_before).into(),
            cut_after: take_one(&mut faults.cut_after).into(),
            fail: take_one(&mut faults.fail).into(),
            slow_ms: faults.slow_ms,
        }
    }

    fn serve(&self, mut call: Call) {
        let body = match call.body() {
            Ok(body) => body,
            Err(refusal) => return call.reply(refusal),
        };
        let faults = self.take_faults();
        if faults.cut_before > 0 {
            return call.cut();
        }
        self.runs
            .begin(call.header("x-request-id"), call.header("Idempotency-Key"));
        thread::sleep(self.latency + Duration::from_millis(faults.slow_ms));
        if faults.cut_after > 0 {
            return call.cut();
        }
        if faults.fail > 0 {
            let reply = Reply::error(500, "service_error", "failed by an injected fault");
            return call.reply(reply);
        }
        self.runs.complete();
        let body = String::from_utf8_lossy(&body);
        let answer = echo(&self.name, call.method(), call.path(), &body);
        call.reply(Reply {
            body: answer,
            ..Reply::json(200, &())
        });
    }
}

impl Handler for Responder {
    fn handle(&self, mut call: Call) {
        match (call.method(), call.path()) {
            ("GET", "/admin/runs") => call.reply(Reply::json(200, &self.runs.read())),
            ("GET", "/health") => call.reply(Reply::text(200, "")),
            ("POST", "/admin/faults") => {
                let set = call.json().map(|faults| {
                    self.set_faults(faults);
                    Reply::json(200, &faults)
                });
                call.reply(set.unwrap_or_else(|refusal| refusal));
            }
            _ => self.serve(call),
        }
    }
}
