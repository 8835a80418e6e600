use super::*;

const HOUR: Micros = 3_600_000_000;

#[test]
fn processes_whose_wall_clocks_differ_read_the_same_age() {
    let machine = monotonic();
    let old = MachineTime { own: 2 * HOUR, machine };
    let new = MachineTime { own: HOUR, machine: machine + 500 };
    let kept = old.of_machine(2 * HOUR - 300);
    assert_eq!(new.of_process(kept), HOUR - 800);
}

#[test]
fn a_time_that_has_not_come_counts_as_the_begin_of_the_process() {
    let time = MachineTime::new(HOUR);
    assert_eq!(time.of_process(monotonic() + HOUR), HOUR);
    assert_eq!(time.of_process(1_796_000_000_000_000), HOUR, "kept by the wall clock");
}
