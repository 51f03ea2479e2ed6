package org.siskinlead.core.fakes;

import java.util.ArrayList;
import java.util.List;
import org.siskinlead.core.invariant.Invariants;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.node.Node;
import org.siskinlead.core.node.Ports;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.routing.FlowWeightedSelector;
import org.siskinlead.core.time.Timer;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Hosts one node in virtual time; can be killed, frozen and thawed. */
public final class TestHost implements Timers {
    private final TestBed bed;
    private final String vm;
    private final Node node;
    private final List<Runnable> deferredEvents = new ArrayList<>();
    private boolean frozen;
    private boolean dead;
    private long nextId;

    TestHost(TestBed bed, String vm, long incarnation) {
        this.bed = bed;
        this.vm = vm;
        Member self = Member.joining(vm, incarnation, "east", vm, vm);
        Timeline timeline = Timeline.of(vm, HybridClock.of(this::wallMillis), bed::onEvent);
        Ports ports = new Ports(
                this,
                bed.store.clientOf(this),
                (address, message) -> bed.send(this, address, message),
                bed.targets.clientOf(this),
                bed.targets.ordersOf(this),
                () -> self.id() + "-" + nextId++);
        node = Node.of(
                self, ports, new FlowWeightedSelector(), timeline, Invariants.of(timeline, Invariants.Mode.THROW));
        node.start();
        pollPlatform();
        every(500, this::pollPlatform);
    }

    private void pollPlatform() {
        node.onVms(bed.targets.vms());
        bed.targets.reports().forEach(node::onReport);
    }

    public Node node() {
        return node;
    }

    public String vm() {
        return vm;
    }

    public boolean dead() {
        return dead;
    }

    /** Tells whether the host is neither dead nor frozen. */
    public boolean isRunning() {
        return !dead && !frozen;
    }

    public void kill() {
        dead = true;
        deferredEvents.clear();
    }

    public void freeze() {
        frozen = true;
    }

    public void thaw() {
        frozen = false;
        List<Runnable> waiting = new ArrayList<>(deferredEvents);
        deferredEvents.clear();
        waiting.forEach(this::dispatch);
    }

    /** Runs an event on the node. A dead node drops it; a frozen node runs it when it is thawed. */
    void dispatch(Runnable event) {
        if (dead) {
            return;
        }
        if (frozen) {
            deferredEvents.add(event);
        } else {
            event.run();
        }
    }

    void receive(PeerMessage message) {
        dispatch(() -> node.onPeerMessage(message));
    }

    @Override
    public long nowMillis() {
        return bed.time.now();
    }

    @Override
    public long wallMillis() {
        return 1_700_000_000_000L + bed.time.now();
    }

    @Override
    public Timer after(long delayMillis, Runnable task) {
        boolean[] cancelled = new boolean[1];
        bed.time.after(
                delayMillis,
                () -> dispatch(() -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                }));
        return () -> cancelled[0] = true;
    }
}
