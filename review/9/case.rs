//! A server whose health is good fails requests after it has run them.

#[path = "../harness-2/lab.rs"]
mod lab;

use std::{
    process::exit,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use lab::*;

/// Bookings of consumers.
const BOOKINGS: usize = 40;

/// Part of the requests that the server fails: every third.
const FAILS: usize = 3;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder"));
    let record = Record::create(&std::env::args().nth(2).unwrap_or_else(|| cannot_run("no record")));
    let store = Store::start();
    let runs = Arc::new(AtomicUsize::new(0));
    let (log, counted) = (record.clone(), runs.clone());
    let server = serve(move |request| {
        let run = counted.fetch_add(1, Ordering::SeqCst);
        log.line(format!("server runs {} {}", request.target, request.id()));
        thread::sleep(Duration::from_millis(15));
        let answer = ran(&request, "booked");
        if has_trouble() && run % FAILS == FAILS - 1 {
            // It has run, so the answer does not say X-Goldcrestvale-Not-Executed.
            log.line(format!("server answers {} with 503, without X-Goldcrestvale-Not-Executed", request.id()));
            return Some(Response { status: 503, ..answer });
        }
        Some(answer)
    });
    let server = server.address;
    store.configure(&configuration(7, 800));
    store.register("i-1", &entry("desk", server, "bole", "ready", 1_000, 1));
    let beats = store.clone();
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            beats.register("i-1", &entry("desk", server, "bole", "ready", 1_000, seq));
        }
    });
    let setup = Setup { name: "front-1", zone: "bole", store: store.address, memory_mb: 390, descriptors: 6_150 };
    let gateway = Gateway::start(&folder, &setup);
    record.line("the instance is ready");
    let (mut broken, mut twice) = (0, 0);
    for number in 0..BOOKINGS {
        thread::sleep(Duration::from_millis(50));
        // As the sheet says: one retry, for an unsafe request only after a promise.
        for attempt in 0..2 {
            let id = format!("b{number}-{attempt}");
            let before = runs.load(Ordering::SeqCst);
            let end = call_once(gateway.front, &request_text("POST", &format!("/book/{number}"), &id, 1_500));
            let has_run = runs.load(Ordering::SeqCst) > before;
            let End::Whole { status, .. } = end else { break };
            let is_promise = matches!(status, 408 | 421 | 429 | 503);
            record.line(format!("consumer {id}: {status}{}", if is_promise && has_run { "  <-- it has run" } else { "" }));
            broken += usize::from(is_promise && has_run);
            twice += usize::from(attempt == 1 && has_run);
            if !is_promise {
                break;
            }
        }
    }
    drop(gateway);
    record.line(format!("{broken} requests were answered 408, 421, 429 or 503 and had run; {twice} bookings ran twice"));
    exit(i32::from(broken > 0));
}
