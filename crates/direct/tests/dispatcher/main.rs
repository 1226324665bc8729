//! Which request goes to which endpoint and when: single choices, cold and emptied endpoints, and
//! whole loads.

mod choice;
mod cold;
mod fixture;
mod overload;
