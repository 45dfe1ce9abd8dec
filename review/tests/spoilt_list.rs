//! New weights are named, and a machine loses its disk right after that was acknowledged. The origin spoils one character
//! of the list of pieces.

mod common;
mod fleet;
mod sha256;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::BROKEN;
use common::Cluster;
use common::HELD;
use common::NOT_RUN;
use common::Record;
use common::finish;
use common::has_trouble;
use common::wait_until;
use fleet::ENGINES;
use fleet::Engine;
use fleet::Origin;
use fleet::ask;
use fleet::config;

/// The callers, each of which sends one request after another.
const CALLERS: usize = 8;

/// The pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(40);

/// The callers send requests for this time before the fault.
const TIME_BEFORE: Duration = Duration::from_secs(5);

/// The entry with a disk that loses it, and for how long it is down.
const LOSES_DISK: usize = 1;
const DOWN_TIME: Duration = Duration::from_secs(1);

/// The time after which the system has to serve again: `recoverS`.
const RECOVER_TIME: Duration = Duration::from_secs(12);

/// Requests are counted for this time after that.
const TIME_AFTER: Duration = Duration::from_secs(20);

/// The requests of a span of time.
#[derive(Clone, Copy, Default)]
struct Count {
    sent: u32,
    served: u32,
}

impl Count {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

fn main() {
    common::start_watchdog();
    let record = Record::create();
    let mut cluster = Cluster::start(&record, 3, 8);
    let origin = Origin::start(cluster.spare(0), &record);
    cluster.order_until_acked("PUT", "/config", &config(origin.addr));
    cluster.await_ready();
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|n| Engine::start(n, &cluster, &record))
        .collect();
    for n in 0..ENGINES {
        cluster.start_agent(n, "chat");
    }
    let asked = Arc::new(AtomicU32::new(0x1_0000));
    wait_until(&record, "each entry serves", || {
        (0..cluster.entries()).all(|n| {
            let id = format!("{:x}", asked.fetch_add(1, Ordering::SeqCst));
            ask(cluster.front(n), &id) == Some(200)
        })
    });
    record.note("all engines serve version 1");
    let count: Arc<Mutex<Count>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let fronts: Vec<_> = (0..cluster.entries()).map(|n| cluster.front(n)).collect();
            let (asked, count, stop) = (asked.clone(), count.clone(), stop.clone());
            let record = record.clone();
            thread::spawn(move || {
                for front in fronts.iter().cycle().skip(caller) {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{:x}", asked.fetch_add(1, Ordering::SeqCst));
                    let status = ask(*front, &id);
                    record.note(&format!("{id} got {status:?}"));
                    let mut count = count.lock().expect("sound");
                    count.sent += 1;
                    count.served += u32::from(status == Some(200));
                    drop(count);
                    thread::sleep(CALLER_PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(TIME_BEFORE);
    let before = std::mem::take(&mut *count.lock().expect("sound"));
    origin.newest.store(2, Ordering::SeqCst);
    // With SPOIL=0 the disk is lost and the origin is sound, to tell the two apart.
    let spoils = has_trouble() && std::env::var("SPOIL").map_or(true, |value| value != "0");
    origin.spoils_list.store(spoils, Ordering::SeqCst);
    cluster.order_until_acked("POST", "/version-put", "{\"model\":\"m\",\"version\":2}");
    if has_trouble() {
        cluster.lose_disk(LOSES_DISK, DOWN_TIME);
    }
    let back = Instant::now();
    thread::sleep(RECOVER_TIME);
    *count.lock().expect("sound") = Count::default();
    let began = Instant::now();
    thread::sleep(TIME_AFTER);
    let after = *count.lock().expect("sound");
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let new = engines.iter().filter(|e| e.version() == 2).count();
    cluster.end();
    record.note(&format!(
        "before: {} of {} served; from {:?} to {:?} after the machine was back: {} of {}; {new} of {ENGINES} \
         engines serve version 2",
        before.served,
        before.sent,
        began.duration_since(back),
        back.elapsed(),
        after.served,
        after.sent,
    ));
    if before.share() < 0.25 || after.sent < 50 {
        finish(&record, NOT_RUN, "too little was served or sent");
    }
    let text = format!(
        "{} of {} requests served after it",
        after.served, after.sent
    );
    if after.share() < 0.25 {
        finish(&record, BROKEN, &format!("RECOVER: {text}"));
    }
    finish(&record, HELD, &text);
}
