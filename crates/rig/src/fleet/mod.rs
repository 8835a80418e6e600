//! The process laboratory: a day with many processes of the program, faults of processes, boxes and links, and what plain
//! choices make of the same arrivals.

pub mod report;
