package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The records that this node has appended and not yet read back, in the order of their appending.
 *
 * <p>A record stays pending until it is read back; while it is not known to stand in the log it is
 * appended again under the same identifier, so that readers see it once.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class PendingRecords {

  private static final int UNANSWERED_RETRIES = 4;

  /** A pending record. Mutable. */
  private static final class Pending {
    private final long number;
    private final RecordBody body;
    private final Instant since;
    private Instant sentAt;
    private boolean answered;
    private boolean appended;
    private boolean possible;
    private boolean shared;
    private boolean inForce;

    private Pending(long number, RecordBody body, Instant sentAt) {
      this.number = number;
      this.body = body;
      since = sentAt;
      this.sentAt = sentAt;
    }

    private boolean isDecision() {
      return body instanceof RecordBody.LoadDecided
          || body instanceof RecordBody.UnloadDecided
          || body instanceof RecordBody.LoadSettled
          || body instanceof RecordBody.ReplicaClosed;
    }
  }

  private final NodeSettings settings;
  private final Map<RecordId, Pending> pending = new LinkedHashMap<>();
  private long sequence;
  private boolean news;

  private PendingRecords(NodeSettings settings) {
    this.settings = settings;
  }

  static PendingRecords create(NodeSettings settings) {
    return new PendingRecords(settings);
  }

  // Updates

  void append(RecordBody body, Step step) {
    sequence++;
    RecordId record = RecordId.of(settings.node() + "." + settings.incarnation() + ".r" + sequence);
    Pending added = new Pending(sequence, body, step.now());
    boolean waits = pending.values().stream().anyMatch(one -> one.shared && !one.appended);
    pending.put(record, added);
    if (waits) {
      added.answered = true;
    } else {
      step.emit(new Effect.Append(record, body));
    }
  }

  /**
   * Marks the decisions that the log has not given back in time, with all before them.
   *
   * @return all marked decisions in order
   */
  List<OutageRecord> share(Instant now, boolean logDown) {
    Duration limit = settings.timings().cells().slowLogAfter();
    boolean late =
        logDown
            || hasShared()
            || pending.values().stream()
                .anyMatch(one -> one.isDecision() && !now.isBefore(one.since.plus(limit)));
    List<OutageRecord> shared = new ArrayList<>();
    pending.forEach(
        (record, one) -> {
          if (late && one.isDecision()) {
            news |= !one.shared;
            one.shared = true;
            shared.add(new OutageRecord(one.number, record, one.body));
          }
        });
    return shared;
  }

  void acceptReadBack(RecordId record) {
    pending.remove(record);
  }

  /**
   * Takes what is known of an append. A claim that failed is dropped, so that it can't surprise.
   */
  void acceptAnswer(RecordId record, AppendOutcome outcome) {
    Pending one = pending.get(record);
    if (one == null) {
      return;
    }
    one.answered = true;
    switch (outcome) {
      case AppendOutcome.Appended appended -> one.appended = true;
      case AppendOutcome.Unknown unknown -> one.possible = true;
      case AppendOutcome.NotAppended refused -> {
        if (one.body instanceof RecordBody.ClaimRecorded && !one.possible) {
          pending.remove(record);
        }
      }
    }
  }

  /**
   * Marks a decision as being in force before it is read back.
   *
   * @return whether it was not marked before
   */
  boolean enforce(RecordId record) {
    Pending one = pending.get(record);
    boolean first = one != null && !one.inForce;
    if (first) {
      one.inForce = true;
    }
    return first;
  }

  /**
   * Appends again what is due. While there are marked decisions, one after the other, since the log
   * has to hold them in their order.
   */
  void retry(Step step) {
    boolean inOrder = hasShared();
    for (Map.Entry<RecordId, Pending> entry : pending.entrySet()) {
      Pending one = entry.getValue();
      if (one.appended) {
        continue;
      }
      if (isDue(one, step.now())) {
        one.possible |= !one.answered;
        one.answered = false;
        one.sentAt = step.now();
        step.emit(new Effect.Append(entry.getKey(), one.body));
      }
      if (inOrder) {
        return;
      }
    }
  }

  private boolean isDue(Pending one, Instant now) {
    Duration interval = settings.timings().appendRetry();
    Duration wait = one.answered ? interval : interval.multipliedBy(UNANSWERED_RETRIES);
    return !now.isBefore(one.sentAt.plus(wait));
  }

  /** Withdraws records that match and certainly do not stand in the log. */
  void withdraw(Predicate<RecordBody> unwanted) {
    pending
        .values()
        .removeIf(
            one ->
                one.answered
                    && !one.appended
                    && !one.possible
                    && !one.shared
                    && unwanted.test(one.body));
  }

  /** Forgets all records; a newer claim made them void. */
  void clear() {
    pending.clear();
  }

  // Accessors

  /** Returns the pending records in order. */
  List<RecordBody> bodies() {
    return pending.values().stream().map(one -> one.body).toList();
  }

  /** Returns the decided loads that are not in force yet. */
  List<RecordBody.LoadDecided> loads() {
    return pending.values().stream()
        .filter(one -> !one.inForce && one.body instanceof RecordBody.LoadDecided)
        .map(one -> (RecordBody.LoadDecided) one.body)
        .toList();
  }

  boolean any(Predicate<RecordBody> wanted) {
    return pending.values().stream().anyMatch(one -> wanted.test(one.body));
  }

  /** Returns whether decisions were marked since the last call. */
  boolean hasNews() {
    boolean was = news;
    news = false;
    return was;
  }

  boolean hasShared() {
    return pending.values().stream().anyMatch(one -> one.shared);
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }
}
