//! Small `Copy` keys into arenas whose slots keep their key across configuration versions.

use std::{fmt, marker::PhantomData};

/// A small integer that addresses one slot of an [`Arena`].
pub trait ArenaId: Copy + Ord + fmt::Debug {
    /// Makes a key from a slot index.
    fn from_index(index: usize) -> Self;
    /// The slot index of the key.
    fn index(self) -> usize;
}

/// Defines key newtypes.
macro_rules! keys {
    ($($(#[$doc:meta])* $name:ident($raw:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// The slot index.
            pub $raw,
        );

        impl ArenaId for $name {
            fn from_index(index: usize) -> Self {
                Self(<$raw>::try_from(index).expect("arena has more slots than its key can address"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

keys! {
    /// Addresses a region.
    RegionId(u16);
    /// Addresses an availability zone.
    ZoneId(u16);
    /// Addresses a site, a group of upstream instances in one zone.
    SiteId(u16);
    /// Addresses a service.
    ServiceId(u16);
    /// Addresses a version of a service.
    VersionId(u32);
    /// Addresses an instance of a version.
    InstanceId(u32);
    /// Addresses a route of a service.
    RouteId(u32);
    /// Addresses a tenant.
    TenantId(u16);
    /// Addresses a preset.
    PresetId(u16);
    /// Addresses a traffic shift of a preset.
    ShiftId(u16);
    /// Addresses an entry host in the membership view of one process.
    HostId(u32);
}

/// Named values addressed by small keys; a removed name leaves a vacant slot.
#[derive(Debug, Clone)]
pub struct Arena<K, V> {
    /// The values by slot index, `None` where the name was removed.
    slots: Vec<Option<V>>,
    /// The slot index of every name ever seen, sorted by name.
    names: Vec<(String, usize)>,
    /// Binds the key type.
    key: PhantomData<K>,
}

impl<K: ArenaId, V> Arena<K, V> {
    /// An empty arena.
    pub fn new() -> Self {
        Self { slots: Vec::new(), names: Vec::new(), key: PhantomData }
    }

    /// An empty arena that gives every name of `previous` its former key.
    pub fn with_ids_of<W>(previous: &Arena<K, W>) -> Self {
        Self {
            slots: previous.slots.iter().map(|_| None).collect(),
            names: previous.names.clone(),
            key: PhantomData,
        }
    }

    /// Stores `value` under `name` and answers its key; a name keeps its slot.
    pub fn insert(&mut self, name: &str, value: V) -> K {
        let index = match self.position(name) {
            Ok(at) => self.names[at].1,
            Err(at) => {
                self.names.insert(at, (name.to_owned(), self.slots.len()));
                self.slots.push(None);
                self.slots.len() - 1
            }
        };
        self.slots[index] = Some(value);
        K::from_index(index)
    }

    /// The key of a present name.
    pub fn id(&self, name: &str) -> Option<K> {
        let index = self.names[self.position(name).ok()?].1;
        self.slots[index].is_some().then(|| K::from_index(index))
    }

    /// The value of a key, `None` where the name was removed.
    pub fn value(&self, key: K) -> Option<&V> {
        self.slots.get(key.index())?.as_ref()
    }

    /// The value of a key for changes, `None` where the name was removed.
    pub fn value_mut(&mut self, key: K) -> Option<&mut V> {
        self.slots.get_mut(key.index())?.as_mut()
    }

    /// The present values in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, it)| Some((K::from_index(index), it.as_ref()?)))
    }

    /// The number of slots, vacant ones included, for vectors that run beside the arena.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// The number of present values.
    pub fn len(&self) -> usize {
        self.slots.iter().flatten().count()
    }

    /// Whether no value is present.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Where `name` stands, or would stand, in the sorted names.
    fn position(&self, name: &str) -> Result<usize, usize> {
        self.names.binary_search_by(|it| it.0.as_str().cmp(name))
    }
}

impl<K: ArenaId, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: ArenaId, V> std::ops::Index<K> for Arena<K, V> {
    type Output = V;

    /// The value of a key that is known to be present.
    fn index(&self, key: K) -> &V {
        self.value(key).unwrap_or_else(|| panic!("{key:?} addresses a vacant slot"))
    }
}
