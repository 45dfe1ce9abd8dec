//! A plain service: bookings that may run once and lookups that may run often.
//!
//! Every answer echoes the request ([`echo`]), so that a caller can check that it got its own.
//! `GET /admin/runs` tells what ran, `POST /admin/faults` takes [`ServiceFaults`].

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
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its name, which every answer carries.
    pub name: String,
    /// The time that a call takes.
    pub latency: Duration,
    /// What goes wrong from the start.
    pub faults: ServiceFaults,
}

impl ServiceConfig {
    /// A service at any free port that answers at once.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            addr: ANY_ADDR,
            name: name.into(),
            latency: Duration::ZERO,
            faults: ServiceFaults::default(),
        }
    }
}

/// What a service does wrong; the counts apply to the next so many calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// The connection ends before the call runs.
    pub cut_before: u32,
    /// The call runs and the connection ends before the answer.
    pub cut_after: u32,
    /// The call runs and the answer is 500.
    pub fail: u32,
    /// Time added to every call, in milliseconds.
    pub slow_ms: u64,
}

fn use_up(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
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

/// The body that the service `name` answers a request with.
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
    desk: Arc<Desk>,
    server: HttpServer,
}

impl Service {
    /// Starts serving.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(config: ServiceConfig) -> Result<Self, StandinError> {
        let desk = Arc::new(Desk {
            name: config.name,
            latency: config.latency,
            runs: RunLog::default(),
            faults: Mutex::new(config.faults),
        });
        let server = HttpServer::start(config.addr, desk.clone())?;
        Ok(Self { desk, server })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// What ran so far.
    pub fn runs(&self) -> Runs {
        self.desk.runs.read()
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.desk.set_faults(faults);
    }

    /// Stops it; the same as dropping it.
    pub fn stop(self) {}
}

struct Desk {
    name: String,
    latency: Duration,
    runs: RunLog,
    faults: Mutex<ServiceFaults>,
}

impl Desk {
    fn set_faults(&self, faults: ServiceFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// The faults of this call, with its counts used up.
    fn draw_faults(&self) -> ServiceFaults {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        ServiceFaults {
            cut_before: use_up(&mut faults.cut_before).into(),
            cut_after: use_up(&mut faults.cut_after).into(),
            fail: use_up(&mut faults.fail).into(),
            slow_ms: faults.slow_ms,
        }
    }

    fn serve(&self, mut call: Call) {
        let body = match call.body() {
            Ok(body) => body,
            Err(refusal) => return call.reply(refusal),
        };
        let faults = self.draw_faults();
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

impl Handler for Desk {
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
