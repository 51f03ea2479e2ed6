package org.siskinlead.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.configuration.ConfigurationException.Code;
import org.siskinlead.core.configuration.UpdateResult.State;
import org.siskinlead.core.membership.ChangeOutcome;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.platform.KeyValueStore;
import org.siskinlead.core.platform.WriteOutcome;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Holds the templates in force and publishes changes. A change is accepted once the head that names its document is
 * stored and a majority of the witnesses has that head. A daemon that does not have the change by then can no longer
 * renew its quorum lease and becomes inactive when the lease ends.
 */
public final class Configuration {
    private static final long UPDATE_TIMEOUT_MS = 4_000;
    private static final long POLL_INTERVAL_MS = 20;
    private static final long FETCH_RETRY_INTERVAL_MS = 250;
    private static final String KEY_PREFIX = "config/";

    private final Membership membership;
    private final KeyValueStore store;
    private final Peers peers;
    private final Timers timers;
    private final Timeline timeline;
    private final Supplier<String> writeIds;
    private final Map<String, LoadedBucket> loadedBuckets = new HashMap<>();
    private final Map<String, String> teamOfCredential = new HashMap<>();
    private final Map<String, Bucket> locallyWrittenBuckets = new HashMap<>();
    private final Set<String> keysBeingFetched = new HashSet<>();
    private final List<Runnable> inForceListeners = new ArrayList<>();
    private long revisionInForce;
    private int fetchAttempts;

    private record LoadedBucket(String key, Bucket bucket) {}

    private Configuration(
            Membership membership,
            KeyValueStore store,
            Peers peers,
            Timers timers,
            Timeline timeline,
            Supplier<String> writeIds) {
        this.membership = membership;
        this.store = store;
        this.peers = peers;
        this.timers = timers;
        this.timeline = timeline;
        this.writeIds = writeIds;
    }

    /**
     * Creates the configuration of a daemon and subscribes it to the membership's heads.
     * @param membership source of heads
     * @param store the platform's key-value service
     * @param peers sends messages to other daemons
     * @param timers clock and timers of the decision thread
     * @param timeline records configuration events
     * @param writeIds supplies unique identifiers for document keys
     * @return the configuration, without any team until the first head is loaded
     */
    public static Configuration of(
            Membership membership,
            KeyValueStore store,
            Peers peers,
            Timers timers,
            Timeline timeline,
            Supplier<String> writeIds) {
        Configuration configuration = new Configuration(membership, store, peers, timers, timeline, writeIds);
        membership.setConfigurationLoadedCheck(configuration::loaded);
        membership.onHead(configuration::onHead);
        return configuration;
    }

    // Queries

    /**
     * Tells whether all documents that the latest head names are loaded.
     * @return true when the revision of the head is in force on this daemon
     */
    public boolean loaded() {
        return revisionInForce == membership.head().revision();
    }

    /**
     * Gets the revision in force on this daemon.
     * @return the configuration revision, 0 before the first
     */
    public long revision() {
        return revisionInForce;
    }

    /**
     * Finds a team.
     * @param team name of the team
     * @return its document, if any
     */
    public Optional<TeamDocument> team(String team) {
        return bucketOrEmpty(Bucket.nameForTeam(team)).team(team);
    }

    /**
     * Finds the team with a credential.
     * @param credentialSha256 SHA-256 hash of the credential in hexadecimal
     * @return its document, if any
     */
    public Optional<TeamDocument> teamByCredential(String credentialSha256) {
        return Optional.ofNullable(teamOfCredential.get(credentialSha256)).flatMap(this::team);
    }

    /**
     * Lists the teams.
     * @return documents of all teams
     */
    public List<TeamDocument> teams() {
        return loadedBuckets.values().stream()
                .flatMap(l -> l.bucket().teams().values().stream())
                .toList();
    }

    // Commands

    /**
     * Adds a listener for new revisions.
     * @param listener runs on the decision thread when a revision has come into force on this daemon
     */
    public void addInForceListener(Runnable listener) {
        inForceListeners.add(listener);
    }

    /**
     * Publishes a template.
     * @param template new template of the team that it names
     * @param expectedRevision revision of the team that it replaces; 0 for a new team
     * @param onAnswer receives the result once; {@code UNKNOWN} when the outcome could not be determined
     */
    public void publish(Template template, long expectedRevision, Consumer<UpdateResult> onAnswer) {
        timeline.record(EventKind.CONFIGURATION_PROPOSED, "team", template.team(), "what", "template");
        update(template.team(), current -> applyTemplate(template, expectedRevision, current), onAnswer);
    }

    /**
     * Stores a member's vote.
     * @param vote vote on the current revision of the template
     * @param onAnswer receives the result once; {@code UNKNOWN} when the outcome could not be determined
     */
    public void vote(Vote vote, Consumer<UpdateResult> onAnswer) {
        timeline.record(EventKind.CONFIGURATION_PROPOSED, "team", vote.team(), "what", "vote", "member", vote.member());
        update(vote.team(), current -> applyVote(vote, current), onAnswer);
    }

    /**
     * Sends a loaded document to the daemon that asked for it; does not answer when it is not loaded.
     * @param request names the document and the address to reply to
     */
    public void onDocumentRequest(PeerMessage.DocumentRequest request) {
        for (LoadedBucket l : loadedBuckets.values()) {
            if (l.key().equals(request.key())) {
                peers.send(
                        request.replyTo(),
                        new PeerMessage.DocumentReply(request.key(), l.bucket().teams()));
            }
        }
    }

    /**
     * Installs a document from another daemon if the latest head still names it.
     * @param reply the document and its key
     */
    public void onDocumentReply(PeerMessage.DocumentReply reply) {
        install(reply.key(), new Bucket(reply.teams()));
    }

    // Helpers

    private static TeamDocument applyTemplate(
            Template template, long expectedRevision, @Nullable TeamDocument current) {
        long revision = current == null ? 0 : current.revision();
        if (revision != expectedRevision) {
            throw ConfigurationException.of(
                    Code.REVISION_CONFLICT,
                    "template \"" + template.team() + "\" replaces revision " + expectedRevision + " but " + revision
                            + " is current");
        }
        return current == null ? TeamDocument.of(template) : current.withTemplate(template);
    }

    private static TeamDocument applyVote(Vote vote, @Nullable TeamDocument current) {
        if (current == null) {
            throw ConfigurationException.of(Code.UNKNOWN_TEAM, "no template for team \"" + vote.team() + "\"");
        }
        return current.withVote(vote);
    }

    private Bucket bucketOrEmpty(String name) {
        LoadedBucket l = loadedBuckets.get(name);
        return l == null ? Bucket.EMPTY : l.bucket();
    }

    private void update(
            String team, Function<@Nullable TeamDocument, TeamDocument> change, Consumer<UpdateResult> onAnswer) {
        new Update(team, change, onAnswer).run();
    }

    private void awaitAccepted(String key, long deadlineMillis, Consumer<UpdateResult> onAnswer) {
        long revision = membership.head().revision();
        if (membership.headAccepted()) {
            timeline.record(EventKind.CONFIGURATION_ACCEPTED, "revision", revision, "document", key);
            onAnswer.accept(new UpdateResult(
                    State.ACCEPTED,
                    revision,
                    "in force on every active daemon within " + Membership.QUORUM_LEASE_MS + " ms"));
        } else if (timers.nowMillis() >= deadlineMillis) {
            onAnswer.accept(new UpdateResult(
                    State.UNKNOWN, revision, "stored, but not yet confirmed by a majority of the witnesses"));
        } else {
            timers.after(POLL_INTERVAL_MS, () -> awaitAccepted(key, deadlineMillis, onAnswer));
        }
    }

    private void onHead(Head head) {
        head.buckets().forEach((name, key) -> {
            Bucket locallyWritten = locallyWrittenBuckets.remove(key);
            if (locallyWritten != null) {
                replaceBucket(name, key, locallyWritten);
            } else if (!isLoaded(name, key) && keysBeingFetched.add(key)) {
                fetch(key);
            }
        });
        refreshRevision();
    }

    private boolean isLoaded(String bucketName, String key) {
        LoadedBucket l = loadedBuckets.get(bucketName);
        return l != null && l.key().equals(key);
    }

    private void fetch(String key) {
        if (!isNamedByHead(key)) {
            keysBeingFetched.remove(key);
            return;
        }
        List<Member> witnesses = membership.head().witnesses();
        fetchAttempts++;
        if (fetchAttempts % 2 == 1 && !witnesses.isEmpty()) {
            Member witness = witnesses.get((fetchAttempts / 2) % witnesses.size());
            peers.send(
                    witness.peerAddress(),
                    new PeerMessage.DocumentRequest(membership.self().peerAddress(), key));
        } else {
            store.read(key, Bucket.class, v -> installRead(key, v.value()), () -> {});
        }
        timers.after(FETCH_RETRY_INTERVAL_MS, () -> {
            if (keysBeingFetched.contains(key)) {
                fetch(key);
            }
        });
    }

    private void installRead(String key, @Nullable Bucket bucket) {
        if (bucket != null) {
            install(key, bucket);
        }
    }

    private void install(String key, Bucket bucket) {
        if (isNamedByHead(key)) {
            replaceBucket(bucketName(key), key, bucket);
            keysBeingFetched.remove(key);
            refreshRevision();
        }
    }

    private void replaceBucket(String bucketName, String key, Bucket bucket) {
        bucketOrEmpty(bucketName)
                .teams()
                .values()
                .forEach(d -> teamOfCredential.remove(d.template().credentialSha256()));
        loadedBuckets.put(bucketName, new LoadedBucket(key, bucket));
        bucket.teams().forEach((team, d) -> teamOfCredential.put(d.template().credentialSha256(), team));
    }

    private boolean isNamedByHead(String key) {
        return key.equals(membership.head().buckets().get(bucketName(key)));
    }

    private static String bucketName(String key) {
        int start = KEY_PREFIX.length();
        return key.substring(start, key.indexOf('/', start));
    }

    private void refreshRevision() {
        Head head = membership.head();
        boolean allLoaded = head.buckets().entrySet().stream().allMatch(e -> isLoaded(e.getKey(), e.getValue()));
        if (allLoaded && head.revision() > revisionInForce) {
            revisionInForce = head.revision();
            timeline.record(EventKind.CONFIGURATION_IN_FORCE, "revision", revisionInForce);
            inForceListeners.forEach(Runnable::run);
        }
    }

    /** One change of a team, retried while concurrent changes to other teams of the same bucket are stored first. */
    private final class Update {
        private final String team;
        private final Function<@Nullable TeamDocument, TeamDocument> change;
        private final Consumer<UpdateResult> onAnswer;
        private final String bucketName;
        private final long deadlineMillis = timers.nowMillis() + UPDATE_TIMEOUT_MS;

        Update(String team, Function<@Nullable TeamDocument, TeamDocument> change, Consumer<UpdateResult> onAnswer) {
            this.team = team;
            this.change = change;
            this.onAnswer = onAnswer;
            this.bucketName = Bucket.nameForTeam(team);
        }

        void run() {
            if (!membership.isActive()) {
                retryOrAnswer(State.UNAVAILABLE, "this daemon is inactive (no quorum lease); nothing was stored");
                return;
            }
            try {
                Bucket current = bucketOrEmpty(bucketName);
                Bucket next = current.with(change.apply(current.team(team).orElse(null)));
                write(membership.head().buckets().getOrDefault(bucketName, ""), next);
            } catch (ConfigurationException e) {
                State state = e.code() == Code.REVISION_CONFLICT ? State.CONFLICT : State.REJECTED;
                answer(state, String.valueOf(e.getMessage()));
            }
        }

        private void write(String expectedKey, Bucket next) {
            String key = KEY_PREFIX + bucketName + "/" + writeIds.get();
            store.compareAndSet(key, 0, next, result -> {
                if (result.outcome() == WriteOutcome.WRITTEN) {
                    updateHead(expectedKey, key, next);
                } else {
                    retryOrAnswer(
                            State.UNAVAILABLE,
                            "the platform's key-value service did not confirm the write; the change is not in force");
                }
            });
        }

        /** Makes the head name a stored document, unless the bucket has changed since it was read. */
        private void updateHead(String expectedKey, String key, Bucket next) {
            locallyWrittenBuckets.put(key, next);
            membership.change(
                    head -> head.buckets().getOrDefault(bucketName, "").equals(expectedKey)
                            ? head.withDocument(bucketName, key)
                            : null,
                    outcome -> onHeadUpdated(outcome, key));
        }

        private void onHeadUpdated(ChangeOutcome outcome, String key) {
            if (outcome == ChangeOutcome.STORED) {
                awaitAccepted(key, deadlineMillis, onAnswer);
                return;
            }
            locallyWrittenBuckets.remove(key);
            switch (outcome) {
                case CONFLICT -> retryOrAnswer(State.CONFLICT, "another change was stored first; nothing was stored");
                case UNKNOWN -> answer(State.UNKNOWN, "the write may have taken effect; query the status of the team");
                default ->
                    answer(State.UNAVAILABLE, "the platform's key-value service did not answer; nothing was stored");
            }
        }

        private void retryOrAnswer(State state, String detail) {
            if (timers.nowMillis() < deadlineMillis) {
                timers.after(POLL_INTERVAL_MS, this::run);
            } else {
                answer(state, detail);
            }
        }

        private void answer(State state, String detail) {
            onAnswer.accept(new UpdateResult(state, 0, detail));
        }
    }
}
