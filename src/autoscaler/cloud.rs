//! The actor that calls the cloud's API: rentals, deletions, the machine list and the
//! catalog, within the cloud's rate limit. Only the leader sends it requests that cost
//! money.

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

/// A request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// For the catalog of machine types.
    Catalog,
    /// To rent machines. Repeating it under the same identifier rents no others.
    Rent(RentalRequest),
    /// To delete machines.
    Delete(Vec<MachineId>),
    /// For the list of all rented machines.
    List,
}

/// The outcome of a request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudResponse {
    /// The catalog of machine types.
    Catalog(Catalog),
    /// Machines were rented, perhaps fewer than were requested.
    Rented {
        /// The request.
        request: RentalRequest,
        /// The names of the machines.
        machines: Vec<MachineId>,
    },
    /// The cloud has no machine of this offer at present.
    NoCapacity(RentalRequest),
    /// The outcome of a rental is unknown: the same request is to be sent again.
    RentUnknown(RentalRequest),
    /// The cloud refuses a rental as malformed.
    RentRefused(RentalRequest),
    /// The machines are deleted.
    Deleted(Vec<MachineId>),
    /// A deletion has failed, or its outcome is unknown.
    DeleteFailed(Vec<MachineId>),
    /// The list of all rented machines.
    List {
        /// When it was requested, on the steady clock.
        asked: Seconds,
        /// The machines.
        machines: Vec<ListedMachine>,
    },
    /// A request for the catalog or the list has failed.
    Failed,
}

/// Starts the actor in a detached thread; `tell` takes its responses and returns false
/// once nobody takes them any more. The channel is bounded: when it is full, the request
/// is to be sent again later.
pub fn start<F>(settings: &Settings, tell: F) -> Sender<CloudRequest>
where
    F: Fn(CloudResponse) -> bool + Send + Clone + 'static,
{
    let (asks, inbox) = bounded::<CloudRequest>(64);
    // Only the leader sends requests: it takes most of the rate, and leaves a little to a
    // controller that led a moment ago.
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
