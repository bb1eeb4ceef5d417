//! Tracks rentals whose outcome is not known yet.

use super::machines::{BootingMachine, MachineOffer};
use crate::clock::Seconds;
use crate::wire::RentalRequest;
use std::collections::HashMap;

/// The most machines per rental request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// The state of an open rental.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RentalState {
    /// The request is in flight.
    InFlight,
    /// The outcome is unknown: the same request is sent again at this time.
    RetryAt(Seconds),
}

/// A rental whose outcome is not known yet.
#[derive(Debug)]
struct OpenRental {
    request: RentalRequest,
    state: RentalState,
}

/// The open rentals, by the identifier of their request. The cloud recognizes a repeated
/// request by it, so that a retry does not rent further machines.
#[derive(Debug, Default)]
pub struct Rentals {
    /// The number of requests made by this process, which is part of their identifiers.
    requests_made: u64,
    open: HashMap<String, OpenRental>,
}

impl Rentals {
    /// Creates a request for `count` machines of an offer, or for as many as the limit of
    /// one request allows. `incarnation` is this controller's, which makes the identifiers
    /// unique in the cluster.
    pub fn next_request(
        &mut self,
        incarnation: u64,
        offer: &MachineOffer,
        count: u32,
    ) -> RentalRequest {
        self.requests_made += 1;
        RentalRequest {
            request: format!("fw-{incarnation}-{}", self.requests_made),
            machine_type: offer.machine_type.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            count: count.min(MAX_MACHINES_PER_REQUEST),
        }
    }

    /// Records that a new request was sent.
    pub fn record_sent(&mut self, request: RentalRequest) {
        let rental = OpenRental {
            request: request.clone(),
            state: RentalState::InFlight,
        };
        self.open.insert(request.request, rental);
    }

    /// Sends the requests again whose retry is due; `send` returns whether the request was
    /// sent.
    pub fn resend_due(&mut self, now: Seconds, send: impl Fn(RentalRequest) -> bool) {
        for rental in self.open.values_mut() {
            let is_due = matches!(rental.state, RentalState::RetryAt(at) if now >= at);
            if is_due && send(rental.request.clone()) {
                rental.state = RentalState::InFlight;
            }
        }
    }

    /// Removes a request whose outcome is final.
    pub fn close(&mut self, request: &RentalRequest) {
        self.open.remove(&request.request);
    }

    /// Schedules the same request to be sent again at `retry_at`, as its outcome is
    /// unknown.
    pub fn retry(&mut self, request: RentalRequest, retry_at: Seconds) {
        if let Some(rental) = self.open.get_mut(&request.request) {
            *rental = OpenRental {
                request,
                state: RentalState::RetryAt(retry_at),
            };
        }
    }

    /// The number of requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.open
            .values()
            .filter(|rental| rental.state == RentalState::InFlight)
            .count()
    }

    /// The machines that the open rentals may still yield, without names.
    pub fn pending_machines(&self) -> impl Iterator<Item = BootingMachine> + '_ {
        self.open.values().flat_map(|rental| {
            let machine = BootingMachine {
                id: "".into(),
                offer: MachineOffer::from(&rental.request),
                age_s: 0.0,
            };
            std::iter::repeat_n(machine, rental.request.count as usize)
        })
    }
}
