//! Arenas of named values with small `Copy` ids that are stable across configuration versions.

use std::{fmt, marker::PhantomData};

/// Integer id of one slot of an [`Arena`].
pub trait ArenaId: Copy + Ord + fmt::Debug {
    /// Creates the id of a slot index; panics when the id type cannot represent it.
    fn from_index(index: usize) -> Self;
    /// Returns the slot index.
    fn index(self) -> usize;
}

macro_rules! arena_ids {
    ($($(#[$doc:meta])* $name:ident($raw:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// Slot index.
            pub $raw,
        );

        impl ArenaId for $name {
            fn from_index(index: usize) -> Self {
                Self(<$raw>::try_from(index).expect("arena has more slots than its id type can address"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

arena_ids! {
    /// Id of a region.
    RegionId(u16);
    /// Id of an availability zone.
    ZoneId(u16);
    /// Id of a site, a group of upstream instances in one zone.
    SiteId(u16);
    /// Id of a service.
    ServiceId(u16);
    /// Id of a version of a service.
    VersionId(u32);
    /// Id of an upstream instance.
    InstanceId(u32);
    /// Id of a route of a service.
    RouteId(u32);
    /// Id of a team.
    TeamId(u16);
    /// Id of a preset.
    PresetId(u16);
    /// Id of a traffic shift of a preset.
    ShiftId(u16);
    /// Id of an entry host in the membership view of one process. Processes number hosts
    /// differently.
    HostId(u32);
}

/// Named values addressed by small ids.
///
/// A name keeps its slot, and so its id, for as long as arenas are built from their predecessors.
/// A name that the new arena does not insert leaves its slot vacant; no other name takes that slot.
#[derive(Debug, Clone)]
pub struct Arena<Id, V> {
    /// Values by slot index, `None` where the slot is vacant.
    slots: Vec<Option<V>>,
    /// Every name ever inserted with its slot index, sorted by name.
    names: Vec<(String, usize)>,
    id: PhantomData<Id>,
}

impl<Id: ArenaId, V> Arena<Id, V> {
    /// Creates an empty arena.
    pub fn new() -> Self {
        Self { slots: Vec::new(), names: Vec::new(), id: PhantomData }
    }

    /// Creates an empty arena in which every name of `previous` has its former id reserved.
    pub fn with_ids_of<W>(previous: &Arena<Id, W>) -> Self {
        Self {
            slots: previous.slots.iter().map(|_| None).collect(),
            names: previous.names.clone(),
            id: PhantomData,
        }
    }

    /// Stores `value` under `name` and returns the id of its slot.
    ///
    /// A known name keeps its slot, and its value is replaced; a new name gets a new slot.
    pub fn insert(&mut self, name: &str, value: V) -> Id {
        let index = match self.find_name(name) {
            Ok(position) => self.names[position].1,
            Err(position) => {
                self.names.insert(position, (name.to_owned(), self.slots.len()));
                self.slots.push(None);
                self.slots.len() - 1
            }
        };
        self.slots[index] = Some(value);
        Id::from_index(index)
    }

    /// Returns the id of a name, `None` when it has no value.
    pub fn id(&self, name: &str) -> Option<Id> {
        let index = self.names[self.find_name(name).ok()?].1;
        self.slots[index].is_some().then(|| Id::from_index(index))
    }

    /// Returns the value of an id, `None` when its slot is vacant.
    pub fn value(&self, id: Id) -> Option<&V> {
        self.slots.get(id.index())?.as_ref()
    }

    /// Returns the mutable value of an id, `None` when its slot is vacant.
    pub fn value_mut(&mut self, id: Id) -> Option<&mut V> {
        self.slots.get_mut(id.index())?.as_mut()
    }

    /// Returns the values with their ids in slot order, without vacant slots.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &V)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, it)| Some((Id::from_index(index), it.as_ref()?)))
    }

    /// Returns the number of slots, vacant ones included: the length of a vector indexed by id.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of values, without vacant slots.
    pub fn len(&self) -> usize {
        self.slots.iter().flatten().count()
    }

    /// Returns whether every slot is vacant.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Searches the sorted names: `Ok` with the position of `name`, `Err` with its insertion point.
    fn find_name(&self, name: &str) -> Result<usize, usize> {
        self.names.binary_search_by(|it| it.0.as_str().cmp(name))
    }
}

impl<Id: ArenaId, V> Default for Arena<Id, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<Id: ArenaId, V> std::ops::Index<Id> for Arena<Id, V> {
    type Output = V;

    /// Returns the value of an id; panics when its slot is vacant.
    fn index(&self, id: Id) -> &V {
        self.value(id).unwrap_or_else(|| panic!("{id:?} addresses a vacant slot"))
    }
}
