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
 * Appends changes of idempotency keys to the log in batches.
 *
 * <p>A node offers its changes to the cell's controller, which appends the changes of all nodes in
 * batches at a bounded rate. A change counts as recorded only once the node has read it back from
 * the log. If a change is not read back in time, the node appends it itself and retries with
 * exponential backoff; a repeated change in the log has no further effect.
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

  /** The next retry of a change of this node that has not been read back yet. */
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

  /** Returns an instance without changes. */
  static IntentRecorder create(NodeSettings settings) {
    return new IntentRecorder(settings);
  }

  // Updates

  /** Accepts a change of this node and sends it until it is read back or withdrawn. */
  void offer(IntentChange change) {
    if (!unconfirmed.containsKey(change) && !outbox.contains(change)) {
      outbox.add(change);
    }
  }

  /** Accepts changes of other nodes for the next batch; their owners retry lost changes. */
  void acceptOffer(List<IntentChange> changes) {
    batch.addAll(changes);
  }

  /** Records that a change was read from the log. */
  void confirm(IntentChange change) {
    unconfirmed.remove(change);
    batch.remove(change);
  }

  /** Stops sending a change, which may nevertheless be in the log already. */
  void withdraw(IntentChange change) {
    outbox.remove(change);
    confirm(change);
  }

  /** Handles the outcome of an append. After a failure, the changes go into the next batch. */
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

  /** Confirms the conclusions that the table contains, for use after a snapshot was restored. */
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
   * Offers new changes to the controller, and appends the batch and retries that are due.
   *
   * @param context the node's current view
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

  /** Returns whether the log refused this node's most recent appends. */
  boolean areAppendsRefused(Instant now) {
    return appendsRefusedUntil.filter(now::isBefore).isPresent();
  }

  /** Returns whether a change of a request has not been read back yet. */
  boolean isRecording(RequestId request) {
    return outbox.stream().anyMatch(change -> change.request().equals(request))
        || unconfirmed.keySet().stream().anyMatch(change -> change.request().equals(request));
  }

  /** Returns whether every change of this node has been read back. */
  boolean allChangesConfirmed() {
    return outbox.isEmpty() && unconfirmed.isEmpty();
  }

  /** Returns when the next batch or retry is due. */
  Optional<Instant> nextWakeUp() {
    if (logDown) {
      return Optional.empty();
    }
    Optional<Instant> append = batch.isEmpty() ? Optional.empty() : nextAppend;
    return Deadlines.earliest(append, nextRetry);
  }
}
