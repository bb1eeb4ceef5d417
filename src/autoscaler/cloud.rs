//! The actor that calls the cloud's API within its rate limit: rentals, deletions, the
//! machine list and the catalog. Only the leader sends it requests that cost money.

use crate::api::status;
use crate::clock::{self, Seconds};
use crate::config::settings::Settings;
use crate::store::{CallError, HttpClient, TokenBucket};
use crate::threads::spawn_detached;
use crate::wire::{Catalog, ListedMachine, MachineId, MachineIds, MachineListPage, RentalRequest};
use crossbeam::channel::{bounded, Receiver, Sender};
use serde_json::json;
use std::time::Duration;

/// The capacity of the actor's request queue.
const QUEUE_CAPACITY: usize = 64;

/// The share of the cloud's rate limit that the leader uses. The rest is left to a
/// controller that led until a moment ago.
const RATE_SHARE: f64 = 0.75;

/// The lowest request rate, in requests per second.
const MIN_RATE: f64 = 0.2;

/// The lowest number of requests that may be sent in a burst.
const MIN_BURST: f64 = 1.0;

/// The lowest timeout for a response, in seconds.
const MIN_TIMEOUT_S: Seconds = 1.0;

/// The shortest pause before a request that the rate limit delays, in seconds.
const MIN_RATE_PAUSE_S: Seconds = 0.01;

/// The number of machines requested for a page of the machine list.
const LIST_PAGE_SIZE: usize = 500;

/// The error text with which the cloud refuses a rental because it has no such machine.
const NO_CAPACITY_ERROR: &str = "no capacity";

/// A request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// Get the catalog of machine types.
    Catalog,
    /// Rent machines. Repeating a request with the same identifier does not rent further
    /// machines.
    Rent(RentalRequest),
    /// Delete machines.
    Delete(Vec<MachineId>),
    /// List all rented machines.
    List,
}

/// The outcome of a request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudResponse {
    /// The catalog of machine types.
    Catalog(Catalog),
    /// Machines were rented, possibly fewer than requested.
    Rented {
        /// The request.
        request: RentalRequest,
        /// The names of the machines.
        machines: Vec<MachineId>,
    },
    /// The cloud currently has no machine of this offer.
    NoCapacity(RentalRequest),
    /// The outcome of a rental is unknown: the same request has to be sent again.
    RentOutcomeUnknown(RentalRequest),
    /// The cloud has rejected a rental as malformed.
    RentRefused(RentalRequest),
    /// The machines are deleted.
    Deleted(Vec<MachineId>),
    /// A deletion has failed, or its outcome is unknown.
    DeleteUnconfirmed(Vec<MachineId>),
    /// All rented machines.
    List {
        /// When the list was requested, on the monotonic clock.
        requested_at: Seconds,
        /// The machines.
        machines: Vec<ListedMachine>,
    },
    /// A request for the catalog or the list has failed.
    ReadFailed,
}

/// Starts the actor in a detached thread. `on_response` receives its responses and returns
/// false once nobody receives them any more, which ends the thread. The queue is bounded:
/// when it is full, the caller has to send the request again later.
pub fn start<F>(settings: &Settings, on_response: F) -> Sender<CloudRequest>
where
    F: Fn(CloudResponse) -> bool + Send + Clone + 'static,
{
    let (sender, requests) = bounded::<CloudRequest>(QUEUE_CAPACITY);
    let rate = (settings.params.cloud.rps * RATE_SHARE).max(MIN_RATE);
    let http = HttpClient::new(
        settings.services.cloud,
        settings.params.workers.report_s.max(MIN_TIMEOUT_S),
    );
    spawn_detached("cloud", move || run(&http, &requests, rate, &on_response));
    sender
}

/// Executes requests until the queue or the receiver of responses is closed.
fn run(
    http: &HttpClient,
    requests: &Receiver<CloudRequest>,
    rate: f64,
    on_response: &impl Fn(CloudResponse) -> bool,
) {
    let mut bucket = TokenBucket::new(rate, rate.max(MIN_BURST), clock::now());
    while let Ok(request) = requests.recv() {
        wait_for_token(&mut bucket, MIN_RATE_PAUSE_S);
        let response = execute(http, request, &mut bucket);
        if !on_response(response) {
            return;
        }
    }
}

/// Waits until the rate limit allows a request, sleeping at least `min_pause_s` seconds at
/// a time.
fn wait_for_token(bucket: &mut TokenBucket, min_pause_s: Seconds) {
    while let Err(wait_s) = bucket.take(1.0, clock::now()) {
        std::thread::sleep(Duration::from_secs_f64(wait_s.max(min_pause_s)));
    }
}

/// Sends a request and waits for its outcome.
fn execute(http: &HttpClient, request: CloudRequest, bucket: &mut TokenBucket) -> CloudResponse {
    match request {
        CloudRequest::Catalog => get_catalog(http),
        CloudRequest::Rent(request) => rent(http, request, bucket),
        CloudRequest::Delete(machines) => delete(http, machines),
        CloudRequest::List => list_machines(http, bucket),
    }
}

fn get_catalog(http: &HttpClient) -> CloudResponse {
    let catalog = http.call("GET", "/catalog", None);
    match catalog.map(serde_json::from_value::<Catalog>) {
        Ok(Ok(catalog)) => CloudResponse::Catalog(catalog),
        Ok(Err(_)) | Err(_) => CloudResponse::ReadFailed,
    }
}

fn rent(http: &HttpClient, request: RentalRequest, bucket: &mut TokenBucket) -> CloudResponse {
    match http.call("POST", "/machines", Some(&json!(request))) {
        Ok(names) => match serde_json::from_value::<MachineIds>(names) {
            Ok(names) => CloudResponse::Rented {
                request,
                machines: names.machines,
            },
            Err(_) => CloudResponse::RentOutcomeUnknown(request),
        },
        Err(error) => rental_error(error, request, bucket),
    }
}

/// Converts the error of a failed rental.
fn rental_error(
    error: CallError,
    request: RentalRequest,
    bucket: &mut TokenBucket,
) -> CloudResponse {
    match error {
        CallError::Status(status::SERVICE_UNAVAILABLE, body)
            if body["error"] == NO_CAPACITY_ERROR =>
        {
            CloudResponse::NoCapacity(request)
        }
        CallError::Status(status::BAD_REQUEST, body) => {
            tracing::warn!(%body, "cloud rejected a rental as malformed");
            CloudResponse::RentRefused(request)
        }
        CallError::Status(status::TOO_MANY_REQUESTS, _) => {
            bucket.record_refusal(clock::now());
            CloudResponse::RentOutcomeUnknown(request)
        }
        _ => CloudResponse::RentOutcomeUnknown(request),
    }
}

fn delete(http: &HttpClient, machines: Vec<MachineId>) -> CloudResponse {
    let names = MachineIds { machines };
    let response = http.call("POST", "/machines/delete", Some(&json!(names)));
    match response {
        Ok(_) => CloudResponse::Deleted(names.machines),
        Err(_) => CloudResponse::DeleteUnconfirmed(names.machines),
    }
}

fn list_machines(http: &HttpClient, bucket: &mut TokenBucket) -> CloudResponse {
    let requested_at = clock::now();
    let mut machines: Vec<ListedMachine> = Vec::new();
    loop {
        let from = machines
            .last()
            .map(|machine| format!("from={}&", machine.id))
            .unwrap_or_default();
        let path = format!("/machines?{from}most={LIST_PAGE_SIZE}");
        let page = http.call("GET", &path, None);
        let Ok(Ok(page)) = page.map(serde_json::from_value::<MachineListPage>) else {
            return CloudResponse::ReadFailed;
        };
        let is_empty = page.machines.is_empty();
        machines.extend(page.machines);
        if !page.more || is_empty {
            return CloudResponse::List {
                requested_at,
                machines,
            };
        }
        wait_for_token(bucket, 0.0);
    }
}
