//! A configuration allows longer heads of requests, and clients use them on connections that they keep.

use std::net::SocketAddr;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use crate::Failure;
use crate::Verdict;
use crate::cluster::Cluster;
use crate::http::Connection;
use crate::http::Request;
use crate::record::Record;
use crate::servers::Servers;
use crate::servers::Spec;

/// The clients, each with a connection that it keeps.
const CLIENTS: usize = 36;

/// How many requests a client sends before and after the change.
const REQUESTS: usize = 6;

/// The pause between two requests of a client.
const REQUEST_PAUSE: Duration = Duration::from_millis(300);

/// How long after the acknowledgement requests count: longer than `configApplyMs` (2,000) and `stabilityMs` (3,000).
const APPLIED_AFTER: Duration = Duration::from_millis(4_000);

/// The limits of the two configurations, and the length of a header that only the second allows.
const LIMIT: usize = 16_384;
const RAISED_LIMIT: usize = 32_768;
const LONG_HEADER: usize = 20_000;

/// The bound of the rule: more than 5 and one in 500 of all requests.
const ALLOWED: usize = 5;
const ALLOWED_DIVISOR: usize = 500;

/// Runs the case. Without trouble, the configuration allows the longer heads from the start.
pub fn run(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let cluster = Cluster::start(record, 3, 3)?;
    let first = if trouble { LIMIT } else { RAISED_LIMIT };
    cluster.put_until_acknowledged(&document(3, first))?;
    let control: Vec<SocketAddr> = (0..3).map(|n| cluster.control(n)).collect();
    let specs = (0..3).map(|n| Spec {
        addr: cluster.server(n),
        id: format!("i-{n}"),
        service: "desk",
        zone: format!("zone-{n}"),
        control: control.clone(),
    });
    let servers = Servers::start(record, specs.collect())?;
    let result = play(record, &cluster);
    servers.end();
    let (all, denied) = result?;
    record.add(format!("{denied} of {all} requests were denied"));
    let broken = denied > ALLOWED + all / ALLOWED_DIVISOR;
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn document(version: u32, limit: usize) -> Vec<u8> {
    let text = format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"desk\",\"host\":\"a.example\",\"pathPrefix\":\"/desk/\",\
         \"kind\":\"idempotent\",\"timeoutMs\":1000,\"goalMs\":100,\"priority\":1,\"service\":\"desk\",\
         \"maxAttempts\":2}}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":130}}],\
         \"limits\":{{\"maxHeaderBytes\":{limit},\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    );
    text.into_bytes()
}

fn play(record: &Record, cluster: &Cluster) -> Result<(usize, usize), Failure> {
    let fronts: Vec<SocketAddr> = (0..cluster.count()).map(|n| cluster.front(n)).collect();
    Cluster::wait_for("all entries serve", || {
        fronts.iter().all(|front| {
            let client = Client::open(*front, 0);
            client.is_ok_and(|mut client| client.ask("first", "short") == Some(200))
        })
    })?;
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        clients.push(Client::open(fronts[n % fronts.len()], n)?);
    }
    let mut all = 0;
    let mut denied = 0;
    let clients = send(record, clients, "before", "short", &mut all, &mut denied);
    cluster.put_until_acknowledged(&document(7, RAISED_LIMIT))?;
    sleep(APPLIED_AFTER);
    let long = "c".repeat(LONG_HEADER);
    send(record, clients, "after", &long, &mut all, &mut denied);
    Ok((all, denied))
}

/// Lets all clients send at the same time. Adds up the requests, and those that ended with a 4xx.
fn send(
    record: &Record,
    clients: Vec<Client>,
    phase: &'static str,
    header: &str,
    all: &mut usize,
    denied: &mut usize,
) -> Vec<Client> {
    let sending = clients.into_iter().map(|mut client| {
        let (record, header) = (record.clone(), header.to_owned());
        spawn(move || {
            let mut statuses = Vec::new();
            for round in 0..REQUESTS {
                let attempt = format!("{phase}-{}-{round}", client.number);
                let status = client.ask(&attempt, &header);
                record.add(format!(
                    "client got {status:?} for {attempt} from {}",
                    client.front
                ));
                statuses.push(status);
                sleep(REQUEST_PAUSE);
            }
            (client, statuses)
        })
    });
    let sending: Vec<_> = sending.collect();
    let mut clients = Vec::new();
    for thread in sending {
        let Ok((client, statuses)) = thread.join() else {
            continue;
        };
        *all += statuses.len();
        // 408, 421 and 429 don't count.
        let denials = statuses
            .iter()
            .flatten()
            .filter(|status| (300..500).contains(*status) && ![408, 421, 429].contains(*status));
        *denied += denials.count();
        clients.push(client);
    }
    clients
}

/// A client that keeps its connection for as long as the entry does.
struct Client {
    number: usize,
    front: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    fn open(front: SocketAddr, number: usize) -> std::io::Result<Self> {
        let connection = Some(Connection::open(front, Duration::from_secs(2))?);
        Ok(Self {
            number,
            front,
            connection,
        })
    }

    /// Sends a request on the kept connection, or on a new one if that was closed. Returns the status of the answer.
    fn ask(&mut self, attempt: &str, header: &str) -> Option<u16> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(self.front, Duration::from_secs(2)).ok()?,
        };
        let answer = connection.exchange(&Request {
            method: "GET",
            path: "/desk/1",
            headers: &[
                ("Host", "a.example"),
                ("X-Filbertstack-Attempt-Id", attempt),
                ("X-Filbertstack-Deadline-Ms", "1000"),
                ("X-Session", header),
            ],
            body: b"",
        });
        let answer = answer.ok()?;
        let closes = answer.head.get("connection");
        if !closes.is_some_and(|text| text.eq_ignore_ascii_case("close")) {
            self.connection = Some(connection);
        }
        Some(answer.status)
    }
}
