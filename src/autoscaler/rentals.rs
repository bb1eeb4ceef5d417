//! The bookkeeping of rentals that the cloud has not answered for certain.

use super::machines::{BootingMachine, MachineOffer};
use crate::clock::Seconds;
use crate::wire::RentalRequest;
use std::collections::HashMap;

/// The most machines that one request may name.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Where an open rental stands.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RentalState {
    /// The request was sent and has no answer yet.
    AwaitingAnswer,
    /// The outcome is unknown: the same request is sent again at this time.
    RetryAt(Seconds),
}

/// A rental without a certain answer yet.
#[derive(Debug)]
struct OpenRental {
    request: RentalRequest,
    state: RentalState,
}

/// Rentals under way, by the identifier of their request, which makes repeating them
/// harmless.
#[derive(Debug, Default)]
pub struct Rentals {
    requests_made: u64,
    open: HashMap<String, OpenRental>,
}

impl Rentals {
    /// A new request for machines of an offer: `count` of them, or as many as one
    /// request may name. `incarnation` is this controller's, so that identifiers are
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

    /// A new request was sent.
    pub fn record_sent(&mut self, request: RentalRequest) {
        let rental = OpenRental {
            request: request.clone(),
            state: RentalState::AwaitingAnswer,
        };
        self.open.insert(request.request, rental);
    }

    /// Sends the requests again whose retry is due; `send` says whether it could.
    pub fn resend_due(&mut self, now: Seconds, send: impl Fn(RentalRequest) -> bool) {
        for rental in self.open.values_mut() {
            let is_due = matches!(rental.state, RentalState::RetryAt(at) if now >= at);
            if is_due && send(rental.request.clone()) {
                rental.state = RentalState::AwaitingAnswer;
            }
        }
    }

    /// A request has got its final answer.
    pub fn close(&mut self, request: &RentalRequest) {
        self.open.remove(&request.request);
    }

    /// A request has got no certain answer: the same is sent again at `retry_at`.
    pub fn retry(&mut self, request: RentalRequest, retry_at: Seconds) {
        if let Some(rental) = self.open.get_mut(&request.request) {
            *rental = OpenRental {
                request,
                state: RentalState::RetryAt(retry_at),
            };
        }
    }

    /// The number of requests that were sent and have no answer yet.
    pub fn awaiting_answer(&self) -> usize {
        self.open
            .values()
            .filter(|rental| rental.state == RentalState::AwaitingAnswer)
            .count()
    }

    /// The machines to come of open rentals, each without a name yet.
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
