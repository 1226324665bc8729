//! The two tables that operators edit: routes and pools, joined by name.

mod current;
mod model;

pub use self::current::Current;
pub use self::model::Endpoint;
pub use self::model::FencingCheck;
pub use self::model::FormerMembers;
pub use self::model::Move;
pub use self::model::Pool;
pub use self::model::PoolKind;
pub use self::model::Route;
pub use self::model::Tables;
