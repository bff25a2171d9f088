package dev.wisteriarail.core.request;

import dev.wisteriarail.core.Deadlines;
import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.log.RecordBody.IntentChange;
import dev.wisteriarail.core.peer.PeerMessage;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Brings changes of idempotency keys into the log, many in one record.
 *
 * <p>A node offers its changes to the cell's controller, which appends those of all nodes as one
 * record at a bounded rate. A change counts as recorded only once it was read back. One that is not
 * read back in time is appended by the node itself, again and again with growing pauses; a change
 * that stands in the log twice has the effect of the first.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class IntentRecorder {

  private static final Duration BATCH_WINDOW = Duration.ofMillis(20);
  private static final Duration BATCH_WINDOW_PER_NODE = Duration.ofNanos(100_000);
  private static final Duration MAX_RETRY_PAUSE = Duration.ofSeconds(8);
  private static final int MAX_BATCH = 500;
  private static final int FAILURES_FOR_OUTAGE = 2;
  private static final Duration OUTAGE_PROBE_INTERVAL = Duration.ofSeconds(1);

  /** A change of this node that was not read back yet. */
  private record Unconfirmed(Instant retryAt, Duration pause) {}

  private final NodeSettings settings;
  private final List<IntentChange> outbox = new ArrayList<>();
  private final Set<IntentChange> batch = new LinkedHashSet<>();
  private final Map<IntentChange, Unconfirmed> unconfirmed = new LinkedHashMap<>();
  private final Map<RecordId, List<IntentChange>> inFlightAppends = new LinkedHashMap<>();
  private Optional<Instant> nextAppend = Optional.empty();
  private Optional<Instant> nextRetry = Optional.empty();
  private Optional<Instant> appendsRefusedUntil = Optional.empty();
  private int failures;
  private boolean logDown;
  private long sequence;

  private IntentRecorder(NodeSettings settings) {
    this.settings = settings;
  }

  /** Returns a recorder without changes. */
  static IntentRecorder create(NodeSettings settings) {
    return new IntentRecorder(settings);
  }

  // Updates

  /** Takes a change of this node; it is sent until it was read back or forgotten. */
  void offer(IntentChange change) {
    if (!unconfirmed.containsKey(change) && !outbox.contains(change)) {
      outbox.add(change);
    }
  }

  /** Takes changes that other nodes want appended; they repeat what is lost. */
  void acceptOffer(List<IntentChange> changes) {
    batch.addAll(changes);
  }

  /** Notes a change that was read from the log. */
  void confirm(IntentChange change) {
    unconfirmed.remove(change);
    batch.remove(change);
  }

  /** Gives a change up: it is not sent again, but may stand in the log all the same. */
  void withdraw(IntentChange change) {
    outbox.remove(change);
    confirm(change);
  }

  /** Takes what is known of an append; a failed one is tried again soon. */
  void acceptAppend(RecordId record, AppendOutcome outcome, Instant now) {
    List<IntentChange> changes = inFlightAppends.remove(record);
    if (changes == null) {
      return;
    }
    switch (outcome) {
      case AppendOutcome.Appended appended -> {
        failures = 0;
        appendsRefusedUntil = Optional.empty();
      }
      case AppendOutcome.NotAppended failed -> {
        failures++;
        changes.stream().filter(unconfirmed::containsKey).forEach(batch::add);
        if (failures >= FAILURES_FOR_OUTAGE) {
          appendsRefusedUntil = Optional.of(now.plus(OUTAGE_PROBE_INTERVAL));
        }
      }
      case AppendOutcome.Unknown unknown -> {}
    }
  }

  /** Drops the conclusions that the ledger has, as after a snapshot was restored. */
  void confirmConcluded(IntentTable intents) {
    unconfirmed
        .keySet()
        .removeIf(
            change ->
                intents
                    .find(IntentKey.of(change))
                    .filter(state -> state.conclusion().filter(change::equals).isPresent())
                    .isPresent());
  }

  /**
   * Sends what is due.
   *
   * @param context the node's present view
   */
  void advance(RequestContext context) {
    Step step = context.step();
    logDown = context.logDown();
    sendOutbox(context);
    if (!logDown) {
      retryUnconfirmed(step.now());
      appendBatch(context);
    }
  }

  private void sendOutbox(RequestContext context) {
    if (outbox.isEmpty()) {
      return;
    }
    Instant now = context.step().now();
    Duration pause = settings.timings().appendRetry();
    for (IntentChange change : outbox) {
      unconfirmed.put(change, new Unconfirmed(now.plus(pause), pause));
    }
    nextRetry = Deadlines.earliest(nextRetry, Optional.of(now.plus(pause)));
    Optional<NodeId> relay =
        context.controller().filter(controller -> !controller.equals(settings.node()));
    if (relay.isPresent()) {
      context.step().emit(new Effect.SendPeer(relay.get(), new PeerMessage.IntentsOffered(outbox)));
    } else {
      batch.addAll(outbox);
    }
    outbox.clear();
  }

  private void retryUnconfirmed(Instant now) {
    if (nextRetry.isEmpty() || now.isBefore(nextRetry.get())) {
      return;
    }
    nextRetry = Optional.empty();
    for (Map.Entry<IntentChange, Unconfirmed> entry : unconfirmed.entrySet()) {
      Unconfirmed retry = entry.getValue();
      if (!now.isBefore(retry.retryAt())) {
        batch.add(entry.getKey());
        retry = withDoubledPause(retry, now);
        entry.setValue(retry);
      }
      nextRetry = Deadlines.earliest(nextRetry, Optional.of(retry.retryAt()));
    }
  }

  private static Unconfirmed withDoubledPause(Unconfirmed retry, Instant now) {
    Duration doubled = retry.pause().multipliedBy(2);
    Duration pause = doubled.compareTo(MAX_RETRY_PAUSE) < 0 ? doubled : MAX_RETRY_PAUSE;
    return new Unconfirmed(now.plus(pause), pause);
  }

  private void appendBatch(RequestContext context) {
    Instant now = context.step().now();
    if (batch.isEmpty() || nextAppend.filter(now::isBefore).isPresent()) {
      return;
    }
    List<IntentChange> changes = batch.stream().limit(MAX_BATCH).toList();
    changes.forEach(batch::remove);
    sequence++;
    RecordId record = RecordId.of(settings.node() + "." + settings.incarnation() + ".i" + sequence);
    inFlightAppends.put(record, changes);
    context.step().emit(new Effect.Append(record, new RecordBody.IntentBatch(changes)));
    Duration window = BATCH_WINDOW.plus(BATCH_WINDOW_PER_NODE.multipliedBy(context.nodes()));
    nextAppend = Optional.of(now.plus(window));
  }

  // Accessors

  /** Returns whether the log refused this node's last appends. */
  boolean areAppendsRefused(Instant now) {
    return appendsRefusedUntil.filter(now::isBefore).isPresent();
  }

  /** Returns whether a change of a request waits to be read back. */
  boolean isRecording(RequestId request) {
    return outbox.stream().anyMatch(change -> change.request().equals(request))
        || unconfirmed.keySet().stream().anyMatch(change -> change.request().equals(request));
  }

  /** Returns whether every change of this node was read back. */
  boolean allChangesConfirmed() {
    return outbox.isEmpty() && unconfirmed.isEmpty();
  }

  /** Returns when a batch or a retry is due. */
  Optional<Instant> nextWakeUp() {
    if (logDown) {
      return Optional.empty();
    }
    Optional<Instant> append = batch.isEmpty() ? Optional.empty() : nextAppend;
    return Deadlines.earliest(append, nextRetry);
  }
}
