use super::*;

const HOUR: Micros = 3_600_000_000;

#[test]
fn processes_with_different_wall_clocks_read_the_same_age() {
    let machine_origin = monotonic();
    let old = MachineTime { process_origin: 2 * HOUR, machine_origin };
    let new = MachineTime { process_origin: HOUR, machine_origin: machine_origin + 500 };
    let stored = old.to_machine_time(2 * HOUR - 300);
    assert_eq!(new.to_process_time(stored), HOUR - 800);
}

#[test]
fn a_future_time_is_replaced_by_the_process_start() {
    let time = MachineTime::new(HOUR);
    assert_eq!(time.to_process_time(monotonic() + HOUR), HOUR);
    assert_eq!(time.to_process_time(1_796_000_000_000_000), HOUR, "stored as wall-clock time");
}
