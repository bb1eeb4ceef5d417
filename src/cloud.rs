//! The actor that speaks to the cloud: rentals, deletions, the list and the
//! catalogue, within the cloud's rate. Only the leader asks it for anything
//! that costs.

use crate::clock::{self, Secs};
use crate::settings::Settings;
use crate::state::{spawn, Bucket, CallError, Http};
use crate::wire::{Catalog, Listed, MachineId, MachineNames, MachinePage, RentRequest};
use crossbeam::channel::{bounded, Receiver, Sender};
use serde_json::json;
use std::time::Duration;

/// What can be asked.
#[derive(Debug, Clone)]
pub enum Ask {
    Catalog,
    Rent(RentRequest),
    Delete(Vec<MachineId>),
    List,
}

/// What comes back.
#[derive(Debug, Clone)]
pub enum Answer {
    Catalog(Catalog),
    Rented {
        request: RentRequest,
        machines: Vec<MachineId>,
    },
    NoCapacity(RentRequest),
    /// No certain answer: the same request is to be sent again.
    RentUnknown(RentRequest),
    /// The cloud takes nothing of this kind.
    RentRefused(RentRequest),
    Deleted(Vec<MachineId>),
    DeleteFailed(Vec<MachineId>),
    /// The list, with the time at which it was asked for.
    List {
        asked: Secs,
        machines: Vec<Listed>,
    },
    Failed,
}

/// Starts the actor; the channel is bounded, and a full one is the asker's
/// sign to come again later.
pub fn start<F>(settings: &Settings, tell: F) -> Sender<Ask>
where
    F: Fn(Answer) -> bool + Send + Clone + 'static,
{
    let (asks, inbox) = bounded::<Ask>(64);
    // Only the leader asks: most of the rate is its, and a little is left for
    // one that led a moment ago.
    let rate = settings.params.cloud.rps * 0.75;
    let http = Http::new(
        settings.services.cloud,
        settings.params.workers.report_s.max(1.0),
    );
    spawn("cloud", move || run(&http, &inbox, rate.max(0.2), &tell));
    asks
}

fn run(http: &Http, inbox: &Receiver<Ask>, rate: f64, tell: &impl Fn(Answer) -> bool) {
    let mut bucket = Bucket::new(rate, rate.max(1.0), clock::now());
    while let Ok(ask) = inbox.recv() {
        while let Err(wait) = bucket.take(1.0, clock::now()) {
            std::thread::sleep(Duration::from_secs_f64(wait.max(0.01)));
        }
        let answer = serve(http, ask, &mut bucket);
        if !tell(answer) {
            return;
        }
    }
}

fn serve(http: &Http, ask: Ask, bucket: &mut Bucket) -> Answer {
    match ask {
        Ask::Catalog => match http.call("GET", "/catalog", None) {
            Ok(v) => serde_json::from_value(v).map_or(Answer::Failed, Answer::Catalog),
            Err(_) => Answer::Failed,
        },
        Ask::Rent(request) => {
            let body = json!(request);
            match http.call("POST", "/machines", Some(&body)) {
                Ok(v) => match serde_json::from_value::<MachineNames>(v) {
                    Ok(names) => Answer::Rented {
                        request,
                        machines: names.machines,
                    },
                    Err(_) => Answer::RentUnknown(request),
                },
                Err(CallError::Status(503, v)) if v["error"] == "no capacity" => {
                    Answer::NoCapacity(request)
                }
                Err(CallError::Status(400, v)) => {
                    tracing::warn!(%v, "the cloud calls a rental malformed");
                    Answer::RentRefused(request)
                }
                Err(CallError::Status(429, _)) => {
                    bucket.refused(clock::now());
                    Answer::RentUnknown(request)
                }
                Err(_) => Answer::RentUnknown(request),
            }
        }
        Ask::Delete(machines) => {
            let body = json!(MachineNames {
                machines: machines.clone()
            });
            match http.call("POST", "/machines/delete", Some(&body)) {
                Ok(_) => Answer::Deleted(machines),
                Err(_) => Answer::DeleteFailed(machines),
            }
        }
        Ask::List => list(http, bucket),
    }
}

fn list(http: &Http, bucket: &mut Bucket) -> Answer {
    let asked = clock::now();
    let mut machines: Vec<Listed> = Vec::new();
    loop {
        let from = machines
            .last()
            .map(|m| format!("from={}&", m.id))
            .unwrap_or_default();
        let page = http.call("GET", &format!("/machines?{from}most=500"), None);
        let Ok(Ok(page)) = page.map(serde_json::from_value::<MachinePage>) else {
            return Answer::Failed;
        };
        let empty = page.machines.is_empty();
        machines.extend(page.machines);
        if !page.more || empty {
            return Answer::List { asked, machines };
        }
        while let Err(wait) = bucket.take(1.0, clock::now()) {
            std::thread::sleep(Duration::from_secs_f64(wait));
        }
    }
}
