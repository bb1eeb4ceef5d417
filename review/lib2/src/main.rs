//! Stand-ins and scenarios of the second review.

mod cases;
mod chaos;
mod cluster;
mod http;
mod json;
mod store;
mod users;
mod world;

use std::cell::Cell;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

pub type Shared<T> = Arc<Mutex<T>>;

pub fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

thread_local! {
    static STATE: Cell<u64> = const { Cell::new(0) };
}
static SEED: Mutex<u64> = Mutex::new(0x9e37_79b9_7f4a_7c15);

/// Returns a random number from 0 up to 1.
pub fn random() -> f64 {
    STATE.with(|state| {
        let mut x = state.get();
        if x == 0 {
            let mut seed = lock(&SEED);
            *seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            x = *seed | 1;
        }
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        state.set(x);
        (x >> 11) as f64 / (1u64 << 53) as f64
    })
}

pub fn chance(share: f64) -> bool {
    share > 0.0 && random() < share
}

pub fn set_seed(seed: u64) {
    *lock(&SEED) = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(12345);
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    set_seed(now.map_or(1, |d| d.as_nanos() as u64));
    match args.get(1).map(String::as_str) {
        Some("chaos") => {
            let seed = args.get(2).and_then(|s| s.parse().ok()).unwrap_or(1);
            let kind = args.get(3).cloned().unwrap_or("all".into());
            std::process::exit(chaos::run(seed, &kind));
        }
        Some("case") => {
            let name = args.get(2).map_or("", String::as_str);
            let folder = args.get(3).map_or(".", String::as_str);
            let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
            std::process::exit(match name {
                "gap" => cases::gap(folder, trouble),
                _ => 2,
            });
        }
        _ => {
            eprintln!("usage: standin chaos SEED KIND");
            std::process::exit(2);
        }
    }
}
