package dev.wisteriarail.core.request;

import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.log.RecordBody.IntentChange;
import dev.wisteriarail.core.log.RecordBody.IntentRecorded;
import dev.wisteriarail.core.result.Execution;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Holds non-repeatable requests until the log determines whether they may run.
 *
 * <p>A request runs only on the node that its intent names, only after that node has read the
 * intent back from the log as the holder of its idempotency key, and only while the node still has
 * the request. If an intent appears in the log after its request was refused, its owner releases
 * it, so that it does not block later requests with the same key.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class IntentGate {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final NodeSettings settings;
  private final IntentLimits limits;
  private final IntentTable intents;
  private final IntentRecorder recorder;
  private final Map<IntentKey, List<PendingRequest>> held = new TreeMap<>();

  private IntentGate(NodeSettings settings, IntentLimits limits, IntentTable intents) {
    this.settings = settings;
    this.limits = limits;
    this.intents = intents;
    recorder = IntentRecorder.create(settings);
  }

  /** Returns an instance that holds no requests. */
  static IntentGate create(NodeSettings settings, IntentLimits limits, IntentTable intents) {
    return new IntentGate(settings, limits, intents);
  }

  // Requests

  /** Holds a request until {@link #remove} is called for it. */
  void add(PendingRequest pending) {
    held.computeIfAbsent(pending.intentKey(), key -> new ArrayList<>()).add(pending);
  }

  /** Removes a held request because it is about to run or to end. */
  void remove(PendingRequest pending) {
    List<PendingRequest> sameKey = held.get(pending.intentKey());
    if (sameKey != null && sameKey.remove(pending) && sameKey.isEmpty()) {
      held.remove(pending.intentKey());
    }
  }

  /**
   * Decides what to do with a request now, and records its intent if its key is free.
   *
   * @param isPendingHere whether a request is still pending on this node
   */
  IntentDecision decide(
      PendingRequest pending, RequestContext context, Predicate<RequestId> isPendingHere) {
    Optional<IntentState> state = intents.find(pending.intentKey());
    if (state.isPresent()) {
      return decideUsedKey(pending, state.get(), context, isPendingHere);
    }
    if (intents.isExpired(pending.intentKey())) {
      return refuse(
          Refusal.outcomeUnknown(
              ResultCode.IDEMPOTENCY_KEY_EXPIRED,
              "the idempotency key was used before and its outcome is no longer stored"));
    }
    if (isBlocked(context)) {
      return refuse(
          Refusal.notRun(
              ResultCode.LOG_UNAVAILABLE,
              "the log is unavailable; the idempotency key cannot be recorded",
              RETRY_AFTER));
    }
    if (!intents.isComplete()) {
      return refuse(
          Refusal.notRun(
              ResultCode.KEYS_INCOMPLETE,
              "this node has not read all used idempotency keys yet; another node may have",
              RETRY_AFTER));
    }
    recorder.offer(intentOf(pending));
    return new IntentDecision.Wait();
  }

  private IntentDecision decideUsedKey(
      PendingRequest pending,
      IntentState state,
      RequestContext context,
      Predicate<RequestId> isPendingHere) {
    IntentRecorded recorded = state.recorded();
    if (recorded.equals(intentOf(pending))) {
      return new IntentDecision.Run();
    }
    recorder.withdraw(intentOf(pending));
    if (!recorded.bodyHash().equals(pending.contentHash())) {
      return refuse(
          Refusal.notRun(
              ResultCode.IDEMPOTENCY_KEY_REUSED,
              "the idempotency key belongs to a request with different content"));
    }
    if (state.conclusion().isPresent()) {
      return decideConcluded(state.conclusion().get());
    }
    boolean ownedByThisIncarnation = isOwnedByThisIncarnation(recorded);
    boolean ownerGone =
        ownedByThisIncarnation
            ? !isPendingHere.test(recorded.request())
            : context.hasEnded().test(recorded.owner(), recorded.incarnation());
    return ownerGone ? refuse(outcomeUnknown()) : new IntentDecision.Wait();
  }

  private static IntentDecision decideConcluded(IntentChange conclusion) {
    return switch (conclusion) {
      case RecordBody.IntentFinished finished ->
          new IntentDecision.Answer(finished.status(), finished.answer());
      case RecordBody.IntentUnresolved unresolved ->
          refuse(
              new Refusal(
                  unresolved.execution() == Execution.RAN
                      ? ResultCode.ANSWER_NOT_KEPT
                      : ResultCode.OUTCOME_UNKNOWN,
                  unresolved.execution(),
                  unresolved.reason(),
                  Optional.empty()));
      case IntentRecorded recorded ->
          throw new IllegalStateException("IntentRecorded is not a conclusion");
      case RecordBody.IntentReleased released ->
          throw new IllegalStateException("IntentReleased is never stored as a conclusion");
    };
  }

  /** Returns the refusal of a held request whose deadline has passed. */
  Refusal refusalAtDeadline(PendingRequest pending) {
    boolean heldByOther =
        intents.find(pending.intentKey()).filter(state -> !holds(pending, state)).isPresent();
    return heldByOther
        ? outcomeUnknown()
        : Refusal.notRun(
            ResultCode.DEADLINE_PASSED,
            "the idempotency key was not recorded before the deadline",
            RETRY_AFTER);
  }

  // Outcomes

  /** Records the complete answer of a request. */
  void recordAnswer(PendingRequest pending, int status) {
    String answer = pending.answer();
    if (answer.length() > limits.maxAnswerLength()) {
      recordUnresolved(
          pending,
          Execution.RAN,
          "the request ran with status " + status + "; its answer is too long to be stored");
      return;
    }
    recorder.offer(
        new RecordBody.IntentFinished(
            pending.intentKey().customer(),
            pending.intentKey().key(),
            pending.request().id(),
            status,
            answer));
  }

  /** Records that a request was sent to a backend server and that its answer is not available. */
  void recordUnresolved(PendingRequest pending, Execution execution, String reason) {
    recorder.offer(
        new RecordBody.IntentUnresolved(
            pending.intentKey().customer(),
            pending.intentKey().key(),
            pending.request().id(),
            execution,
            reason));
  }

  /**
   * Removes a request that has ended. Releases its key if the request holds it and was never sent
   * to a backend server.
   */
  void close(PendingRequest pending) {
    remove(pending);
    recorder.withdraw(intentOf(pending));
    boolean holdsOpenKey =
        intents
            .find(pending.intentKey())
            .filter(state -> state.isOpen() && holds(pending, state))
            .isPresent();
    if (holdsOpenKey && !pending.mayHaveReachedBackend()) {
      recorder.offer(releaseOf(intentOf(pending)));
    }
  }

  // Log and peers

  /** Handles the outcome of an append. */
  void acceptAppend(RecordId record, AppendOutcome outcome, Instant now) {
    recorder.acceptAppend(record, outcome, now);
  }

  /**
   * Applies a record read from the log.
   *
   * @return the held requests whose decision may change
   */
  List<PendingRequest> acceptRecord(RecordBody body, Predicate<RequestId> isPendingHere) {
    List<PendingRequest> affected = new ArrayList<>();
    for (IntentChange change : intents.apply(body)) {
      recorder.confirm(change);
      affected.addAll(held.getOrDefault(IntentKey.of(change), List.of()));
      if (change instanceof IntentRecorded recorded) {
        releaseIfAbandoned(recorded, isPendingHere);
      }
    }
    return affected.stream().distinct().toList();
  }

  /** Replaces the state of the idempotency keys by a snapshot of another reader of the log. */
  void restore(IntentSnapshot snapshot, Predicate<RequestId> isPendingHere) {
    intents.restore(snapshot);
    recorder.confirmConcluded(intents);
    for (IntentState state : intents.openIntentsOf(settings.node(), settings.incarnation())) {
      releaseIfAbandoned(state.recorded(), isPendingHere);
    }
  }

  private void releaseIfAbandoned(IntentRecorded recorded, Predicate<RequestId> isPendingHere) {
    boolean holdsKey =
        intents
            .find(IntentKey.of(recorded))
            .filter(state -> state.isOpen() && state.recorded().equals(recorded))
            .isPresent();
    if (holdsKey
        && isOwnedByThisIncarnation(recorded)
        && !isPendingHere.test(recorded.request())
        && !recorder.isRecording(recorded.request())) {
      recorder.offer(releaseOf(recorded));
    }
  }

  /** Accepts changes of other nodes, to be appended to the log by this node. */
  void acceptOffer(List<IntentChange> changes) {
    recorder.acceptOffer(changes);
  }

  /** Sends pending changes to the controller or appends them to the log. */
  void advance(RequestContext context) {
    recorder.advance(context);
  }

  // Accessors

  /** Returns the held requests. */
  Collection<PendingRequest> heldRequests() {
    return held.values().stream().flatMap(List::stream).toList();
  }

  /**
   * Returns whether intents cannot be recorded now, so that requests with a free key are refused.
   */
  boolean isBlocked(RequestContext context) {
    return context.logDown() || recorder.areAppendsRefused(context.step().now());
  }

  /** Returns whether no request is held. */
  boolean isIdle() {
    return held.isEmpty();
  }

  /** Returns whether every change of this node has been read back from the log. */
  boolean allChangesConfirmed() {
    return recorder.allChangesConfirmed();
  }

  /** Returns when {@link #advance} has to run even if no event arrives. */
  Optional<Instant> nextWakeUp() {
    return recorder.nextWakeUp();
  }

  // Helpers

  private boolean isOwnedByThisIncarnation(IntentRecorded recorded) {
    return recorded.owner().equals(settings.node())
        && recorded.incarnation().equals(settings.incarnation());
  }

  private boolean holds(PendingRequest pending, IntentState state) {
    return state.recorded().equals(intentOf(pending));
  }

  private IntentRecorded intentOf(PendingRequest pending) {
    return new IntentRecorded(
        pending.intentKey().customer(),
        pending.intentKey().key(),
        pending.contentHash(),
        pending.request().id(),
        settings.node(),
        settings.incarnation());
  }

  private static RecordBody.IntentReleased releaseOf(IntentRecorded recorded) {
    return new RecordBody.IntentReleased(recorded.customer(), recorded.key(), recorded.request());
  }

  private static Refusal outcomeUnknown() {
    return Refusal.outcomeUnknown(
        ResultCode.OUTCOME_UNKNOWN,
        "a request with this idempotency key was accepted; its outcome is unknown");
  }

  private static IntentDecision refuse(Refusal refusal) {
    return new IntentDecision.Refuse(refusal);
  }
}
