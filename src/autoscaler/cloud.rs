//! The actor that speaks to the cloud: rentals, deletions, the list and the
//! catalog, within the cloud's rate. Only the leader asks it for anything
//! that costs.

use crate::clock::{self, Seconds};
use crate::config::settings::Settings;
use crate::store::{CallError, HttpClient, TokenBucket};
use crate::threads::spawn_detached;
use crate::wire::{
    Catalog, ListedMachine, MachineId, MachineListPage, MachineNames, RentalRequest,
};
use crossbeam::channel::{bounded, Receiver, Sender};
use serde_json::json;
use std::time::Duration;

/// What can be asked.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    Catalog,
    Rent(RentalRequest),
    Delete(Vec<MachineId>),
    List,
}

/// What comes back.
#[derive(Debug, Clone)]
pub enum CloudResponse {
    Catalog(Catalog),
    Rented {
        request: RentalRequest,
        machines: Vec<MachineId>,
    },
    NoCapacity(RentalRequest),
    /// No certain answer: the same request is to be sent again.
    RentUnknown(RentalRequest),
    /// The cloud takes nothing of this kind.
    RentRefused(RentalRequest),
    Deleted(Vec<MachineId>),
    DeleteFailed(Vec<MachineId>),
    /// The list, with the time at which it was asked for.
    List {
        asked: Seconds,
        machines: Vec<ListedMachine>,
    },
    Failed,
}

/// Starts the actor; the channel is bounded, and a full one is the asker's
/// sign to come again later.
pub fn start<F>(settings: &Settings, tell: F) -> Sender<CloudRequest>
where
    F: Fn(CloudResponse) -> bool + Send + Clone + 'static,
{
    let (asks, inbox) = bounded::<CloudRequest>(64);
    // Only the leader asks: most of the rate is its, and a little is left for
    // one that led a moment ago.
    let rate = settings.params.cloud.rps * 0.75;
    let http = HttpClient::new(
        settings.services.cloud,
        settings.params.workers.report_s.max(1.0),
    );
    spawn_detached("cloud", move || run(&http, &inbox, rate.max(0.2), &tell));
    asks
}

fn run(
    http: &HttpClient,
    inbox: &Receiver<CloudRequest>,
    rate: f64,
    tell: &impl Fn(CloudResponse) -> bool,
) {
    let mut bucket = TokenBucket::new(rate, rate.max(1.0), clock::now());
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

fn serve(http: &HttpClient, ask: CloudRequest, bucket: &mut TokenBucket) -> CloudResponse {
    match ask {
        CloudRequest::Catalog => match http.call("GET", "/catalog", None) {
            Ok(v) => {
                serde_json::from_value(v).map_or(CloudResponse::Failed, CloudResponse::Catalog)
            }
            Err(_) => CloudResponse::Failed,
        },
        CloudRequest::Rent(request) => {
            let body = json!(request);
            match http.call("POST", "/machines", Some(&body)) {
                Ok(v) => match serde_json::from_value::<MachineNames>(v) {
                    Ok(names) => CloudResponse::Rented {
                        request,
                        machines: names.machines,
                    },
                    Err(_) => CloudResponse::RentUnknown(request),
                },
                Err(CallError::Status(503, v)) if v["error"] == "no capacity" => {
                    CloudResponse::NoCapacity(request)
                }
                Err(CallError::Status(400, v)) => {
                    tracing::warn!(%v, "the cloud calls a rental malformed");
                    CloudResponse::RentRefused(request)
                }
                Err(CallError::Status(429, _)) => {
                    bucket.refused(clock::now());
                    CloudResponse::RentUnknown(request)
                }
                Err(_) => CloudResponse::RentUnknown(request),
            }
        }
        CloudRequest::Delete(machines) => {
            let body = json!(MachineNames {
                machines: machines.clone()
            });
            match http.call("POST", "/machines/delete", Some(&body)) {
                Ok(_) => CloudResponse::Deleted(machines),
                Err(_) => CloudResponse::DeleteFailed(machines),
            }
        }
        CloudRequest::List => list(http, bucket),
    }
}

fn list(http: &HttpClient, bucket: &mut TokenBucket) -> CloudResponse {
    let asked = clock::now();
    let mut machines: Vec<ListedMachine> = Vec::new();
    loop {
        let from = machines
            .last()
            .map(|m| format!("from={}&", m.id))
            .unwrap_or_default();
        let page = http.call("GET", &format!("/machines?{from}most=500"), None);
        let Ok(Ok(page)) = page.map(serde_json::from_value::<MachineListPage>) else {
            return CloudResponse::Failed;
        };
        let empty = page.machines.is_empty();
        machines.extend(page.machines);
        if !page.more || empty {
            return CloudResponse::List { asked, machines };
        }
        while let Err(wait) = bucket.take(1.0, clock::now()) {
            std::thread::sleep(Duration::from_secs_f64(wait));
        }
    }
}
