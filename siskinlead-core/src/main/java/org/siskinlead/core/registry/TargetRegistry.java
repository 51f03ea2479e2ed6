package org.siskinlead.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Targets known by their own entries. An entry that lapsed while the store was away stays usable until the store has
 * been back long enough for the target to renew it; one removed while the store was steady is gone at once.
 */
public final class TargetRegistry {
    /** Time after the store's return within which living targets renew lapsed entries; the platform states two seconds. */
    public static final long LAPSE_GRACE_MS = 2_300;

    private final Timers timers;
    private final Timeline timeline;
    private final Map<String, TargetHealth> byId = new HashMap<>();
    private final Set<String> lapsed = new HashSet<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private long storeRegainedAt = Long.MIN_VALUE / 2;
    private boolean storeLost;

    private TargetRegistry(Timers timers, Timeline timeline) {
        this.timers = timers;
        this.timeline = timeline;
    }

    /**
     * Creates an empty registry.
     * @param timers time
     * @param timeline where events go
     * @return the registry
     */
    public static TargetRegistry of(Timers timers, Timeline timeline) {
        return new TargetRegistry(timers, timeline);
    }

    // Queries

    /**
     * Lists the targets of a service that are registered.
     * @param service name of the service
     * @return targets, leaving ones and ones believed down included
     */
    public List<TargetHealth> of(String service) {
        List<TargetHealth> found = new ArrayList<>();
        for (TargetHealth target : byId.values()) {
            if (!target.isRemoved() && target.entry().service().equals(service)) {
                found.add(target);
            }
        }
        return found;
    }

    /**
     * Finds a target.
     * @param id its identity
     * @return the target
     */
    public Optional<TargetHealth> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Finds a target by address.
     * @param address IP number and port
     * @return the target that is registered with it
     */
    public Optional<TargetHealth> findByAddress(String address) {
        return byId.values().stream()
                .filter(t -> !t.isRemoved() && t.entry().address().equals(address))
                .findFirst();
    }

    // Commands

    /**
     * Registers what runs when targets appear, change or leave.
     * @param listener runs after the change
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Takes a new or changed entry.
     * @param entry the entry
     */
    public void register(RegisteredTarget entry) {
        lapsed.remove(entry.id());
        TargetHealth known = byId.get(entry.id());
        if (known != null && known.entry().instanceId().equals(entry.instanceId()) && !known.isRemoved()) {
            boolean left = entry.leaving() && !known.entry().leaving();
            known.update(entry);
            if (left) {
                timeline.record(EventKind.TARGET_LEFT, "target", entry.id(), "reason", "leaving");
            }
        } else {
            byId.put(entry.id(), new TargetHealth(entry, timers));
            timeline.record(
                    EventKind.TARGET_JOINED,
                    "target",
                    entry.id(),
                    "service",
                    entry.service(),
                    "dataCentre",
                    entry.dataCentre(),
                    "accelerator",
                    entry.accelerator());
        }
        notifyListeners();
    }

    /**
     * Takes the removal of an entry.
     * @param id identity of the target
     */
    public void unregister(String id) {
        TargetHealth known = byId.get(id);
        if (known == null || known.isRemoved()) {
            return;
        }
        if (storeLost || timers.nowMillis() - storeRegainedAt < LAPSE_GRACE_MS) {
            lapsed.add(id);
        } else {
            remove(id, "entry removed");
        }
    }

    /**
     * Keeps only the listed entries, after the whole list was read anew.
     * @param ids identities that are registered
     */
    public void retain(Collection<String> ids) {
        for (String id : List.copyOf(byId.keySet())) {
            if (!ids.contains(id)) {
                unregister(id);
            }
        }
    }

    /** Takes note that the store no longer answers this daemon. */
    public void onStoreLost() {
        storeLost = true;
    }

    /** Takes note that the store answers again. */
    public void onStoreRegained() {
        storeLost = false;
        storeRegainedAt = timers.nowMillis();
        timers.after(LAPSE_GRACE_MS, this::removeLapsed);
    }

    /** Tells the listeners that the health of a target has changed. */
    public void notifyListeners() {
        listeners.forEach(Runnable::run);
    }

    private void removeLapsed() {
        if (storeLost || timers.nowMillis() - storeRegainedAt < LAPSE_GRACE_MS) {
            return;
        }
        List.copyOf(lapsed).forEach(id -> remove(id, "entry lapsed and was not renewed"));
        lapsed.clear();
    }

    private void remove(String id, String reason) {
        TargetHealth known = byId.remove(id);
        if (known != null) {
            known.markRemoved();
            timeline.record(EventKind.TARGET_LEFT, "target", id, "reason", reason);
            notifyListeners();
        }
    }
}
