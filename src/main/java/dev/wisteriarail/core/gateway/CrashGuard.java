package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.PeerTable;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.forward.CrashHistory;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.forward.CrashRefutation;
import dev.wisteriarail.core.forward.CrashReport;
import dev.wisteriarail.core.forward.RequestTrait;
import dev.wisteriarail.core.forward.RunnerLoss;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Protects runners from requests that crash them, in the whole fleet.
 *
 * <p>Each node sends all others at once what it lost, what turned out to be sound, and which losses
 * were no crashes, so that all nodes come to the same decision. Decisions are also part of
 * heartbeats and are kept in the store, for nodes that missed a message or start later.
 *
 * <p>A request with a suspected trait is sent only while no other request of this node with that
 * trait waits for its response or has just begun to receive it, and not to a runner at which such a
 * request is. So a crash accuses few requests, and one complete response clears the others.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class CrashGuard {

  private static final String SOURCE_ATTEMPT = "attempt";

  private static final String SOURCE_STORE = "store";

  /** Time after the first event of a response in which its runner is still likely to crash. */
  private static final Duration PROBE_TIME = Duration.ofSeconds(1);

  /** Time between the first trials of two nodes after a refusal; a crash is told in between. */
  private static final Duration TRIAL_INTERVAL = Duration.ofSeconds(1);

  /** Maximum number of nodes that this node lets go first with a trial. */
  private static final int MAX_TRIALS_BEFORE = 7;

  private static final int MAX_REPORTED_TRAITS = 512;

  private final PeerTable peers;
  private final CrashHistory history = CrashHistory.create();
  private final RefusalSaver saver = RefusalSaver.create();
  private final List<Probe> probes = new ArrayList<>();

  /** Traits of the losses that this node reported to its peers, the oldest first. */
  private final Set<RequestTrait> reportedTraits = new LinkedHashSet<>();

  private boolean refusalAdded;
  private boolean refusalsToTell;
  private boolean refusalsToSave;

  private CrashGuard(PeerTable peers) {
    this.peers = peers;
  }

  static CrashGuard create(PeerTable peers) {
    return new CrashGuard(peers);
  }

  // Requests

  /** Returns the refusal of a request, if it is known to crash runners. */
  Optional<CrashRefusal> refusal(List<RequestTrait> traits, Instant now) {
    return history.hasRefusals() ? history.refusal(traits, trialDelay(), now) : Optional.empty();
  }

  /** Returns the time that this node leaves to the nodes that try refused requests before it. */
  private Duration trialDelay() {
    return TRIAL_INTERVAL.multipliedBy(Math.min(peers.position().index(), MAX_TRIALS_BEFORE));
  }

  /** Returns whether a request may be sent now, as far as suspected traits are concerned. */
  boolean maySend(PendingForward forward, PendingForwardTable pending, Instant now) {
    List<RequestTrait> suspects = history.suspects(forward.traits());
    if (suspects.isEmpty()) {
      return true;
    }
    if (refusal(forward.traits(), now).isPresent()) {
      return false;
    }
    probes.removeIf(probe -> !probe.isOpen(pending, now));
    return probes.stream()
        .filter(probe -> probe.exchange() != forward.exchange())
        .noneMatch(probe -> suspects.stream().anyMatch(probe.suspects()::contains));
  }

  /** Returns whether a suspected request is not sent to a runner for now. */
  boolean avoids(PendingForward forward, String runner) {
    return !probes.isEmpty()
        && !history.suspects(forward.traits()).isEmpty()
        && probes.stream().anyMatch(probe -> probe.runner().equals(runner));
  }

  /** Records that a request was sent to a runner. */
  void recordSent(PendingForward forward, LiveAttempt attempt) {
    List<RequestTrait> suspects = history.suspects(forward.traits());
    if (!suspects.isEmpty()) {
      probes.add(new Probe(forward.exchange(), attempt.number(), attempt.runner().id(), suspects));
    }
  }

  // Evidence of this node

  /**
   * Handles the loss of a connection on which no complete response had arrived. The first events of
   * a response show nothing: a request may crash its runner after them.
   */
  void recordLoss(PendingForward forward, LiveAttempt attempt, GatewayStep step) {
    CrashReport report =
        new CrashReport(
            new RunnerLoss(RunnerRun.of(attempt.runner()), 0),
            Duration.between(attempt.sentAt(), step.now()).toMillis(),
            history.unproven(forward.traits(), step.now()));
    List<CrashRefusal> added = history.recordCrash(report, step.now());
    ForwardLog.crashRecorded(forward, attempt.runner(), report, counts(report), step);
    added.forEach(refusal -> recordRefusal(refusal, SOURCE_ATTEMPT, step));
    added.forEach(saver::add);
    sendToAllPeers(FleetMessage.CrashTold.ofLost(forward.request().fingerprint(), report), step);
    reportedTraits.addAll(report.traits());
    while (reportedTraits.size() > MAX_REPORTED_TRAITS) {
      reportedTraits.remove(reportedTraits.iterator().next());
    }
  }

  /** Handles a complete response, which clears the content and the parts of the request. */
  void recordCompleteResponse(PendingForward forward, GatewayStep step) {
    List<RequestTrait> cleared = history.recordSound(forward.traits(), step.now());
    if (!cleared.isEmpty()) {
      logCleared(cleared, forward.request().id(), step);
      sendToAllPeers(FleetMessage.CrashTold.ofSound(cleared), step);
    }
  }

  /** Handles a sign of life of a runner: progress of a request, or a response to it. */
  void recordSignOfLife(RunnerEntry runner, Instant sentAt, GatewayStep step) {
    refute(RunnerRun.of(runner), sentAt, step);
  }

  /** Handles an engine's report; its start time shows whether the engine has crashed. */
  void recordReport(RunnerReport report, Instant requestedAt, GatewayStep step) {
    refute(new RunnerRun(report.runner(), report.bornMillis()), requestedAt, step);
  }

  private void refute(RunnerRun run, Instant sentAt, GatewayStep step) {
    history
        .recordSignOfLife(run, sentAt, step.now())
        .ifPresent(
            refutation -> {
              logRefuted(refutation, step);
              sendToAllPeers(FleetMessage.CrashTold.ofRefuted(refutation.loss()), step);
            });
  }

  private static void logRefuted(CrashRefutation refutation, GatewayStep step) {
    RunnerRun run = refutation.loss().run();
    step.log(
        EventCode.CRASH_REFUTED,
        "runner",
        run.id(),
        "born",
        run.bornMillis(),
        "withdrawn",
        refutation.withdrawn());
  }

  // Evidence of peers

  /** Handles evidence of a peer. */
  void accept(FleetMessage.CrashTold told, NodeId from, GatewayStep step) {
    Instant now = step.now();
    if (told.isOfEarlierVersion()) {
      RunnerRun unknown = new RunnerRun("unknown, told by " + from.value(), 0);
      RequestTrait content = RequestTrait.ofContent(told.fingerprint());
      acceptLoss(new CrashReport(new RunnerLoss(unknown, 0), 0, List.of(content)), from, step);
    }
    told.lost().ifPresent(report -> acceptLoss(report, from, step));
    told.refuted()
        .map(loss -> history.acceptRefutation(loss, now))
        .filter(refutation -> !refutation.withdrawn().isEmpty())
        .ifPresent(refutation -> logRefuted(refutation, step));
    List<RequestTrait> cleared = history.recordSound(told.sound(), now);
    if (!cleared.isEmpty()) {
      logCleared(cleared, from.value(), step);
      relayCleared(cleared, step);
    }
  }

  /**
   * In a large fleet, sends what a peer cleared on to all nodes that got this node's reports: the
   * peer told only this node.
   */
  private void relayCleared(List<RequestTrait> cleared, GatewayStep step) {
    List<RequestTrait> reported = new ArrayList<>(cleared);
    reported.retainAll(reportedTraits);
    reportedTraits.removeAll(reported);
    if (peers.isLarge() && !reported.isEmpty()) {
      sendToAllPeers(FleetMessage.CrashTold.ofSound(reported), step);
    }
  }

  private void acceptLoss(CrashReport report, NodeId from, GatewayStep step) {
    List<RequestTrait> sound = history.proof(report.traits(), step.now());
    if (!sound.isEmpty()) {
      sendSound(sound, from, step);
    }
    List<CrashRefusal> added = history.recordCrash(report, step.now());
    ForwardLog.crashReceived(report, from.value(), counts(report), step);
    added.forEach(refusal -> recordRefusal(refusal, from.value(), step));
  }

  /**
   * In a large fleet only the reporting node gets it and sends it on, as all nodes may know that a
   * trait is sound.
   */
  private void sendSound(List<RequestTrait> sound, NodeId reporter, GatewayStep step) {
    FleetMessage.CrashTold message = FleetMessage.CrashTold.ofSound(sound);
    if (!peers.isLarge()) {
      sendToAllPeers(message, step);
      return;
    }
    peers.addresses().stream()
        .filter(address -> address.node().equals(reporter))
        .forEach(address -> step.emit(new GatewayEffect.SendPeer(address, message)));
  }

  /** Handles what a peer's heartbeat repeats for nodes that missed it. */
  void acceptHeartbeat(FleetMessage.Beat heartbeat, GatewayStep step) {
    String peer = heartbeat.self().node().value();
    acceptRefusals(heartbeat.refusals(), peer, step);
    List<RequestTrait> sound =
        heartbeat.refusals().stream()
            .flatMap(refusal -> history.proof(refusal.traits(), step.now()).stream())
            .distinct()
            .toList();
    if (!sound.isEmpty()) {
      step.emit(
          new GatewayEffect.SendPeer(heartbeat.self(), FleetMessage.CrashTold.ofSound(sound)));
    }
    for (CrashReport report : heartbeat.crashes()) {
      history
          .recordRepeated(report, step.now())
          .forEach(refusal -> recordRefusal(refusal, peer, step));
    }
  }

  private void acceptRefusals(List<CrashRefusal> refusals, String source, GatewayStep step) {
    for (CrashRefusal refusal : refusals) {
      if (history.acceptRefusal(refusal, step.now())) {
        recordRefusal(refusal, source, step);
      }
    }
  }

  /** Applies refusals that were read from the store. */
  void acceptStored(List<CrashRefusal> refusals, GatewayStep step) {
    acceptRefusals(refusals, SOURCE_STORE, step);
  }

  // Progress

  /** Handles the result of a write to the store. */
  void acceptSaved(boolean succeeded, GatewayStep step) {
    saver.accept(succeeded, step.now());
  }

  /**
   * Writes refusals to the store, and drops what has expired.
   *
   * @param coordinator whether this node writes refusals that it learned from peers, too
   */
  void advance(boolean storeReachable, boolean coordinator, GatewayStep step) {
    history.advance(step.now());
    if (coordinator && refusalsToSave) {
      history.refusals(step.now()).forEach(saver::add);
    }
    refusalsToSave = false;
    if (storeReachable && saver.isDue(step.now())) {
      saver
          .next(history.refusals(step.now()))
          .ifPresent(refusal -> step.emit(new GatewayEffect.SaveRefusal(refusal)));
    }
  }

  /** Includes the refusals in the next heartbeat, as a node has started. */
  void tellRefusals() {
    refusalsToTell = true;
  }

  /** Lets the coordinator write the refusals again, as the store may have lost them. */
  void saveRefusals() {
    refusalsToSave = true;
  }

  /** Returns whether a refusal was added since the last call. */
  boolean takeRefusalAdded() {
    boolean added = refusalAdded;
    refusalAdded = false;
    return added;
  }

  /**
   * Returns a heartbeat with what it repeats for nodes that missed it.
   *
   * @param all whether to repeat what has not changed
   */
  FleetMessage.Beat complete(FleetMessage.Beat heartbeat, boolean all, Instant now) {
    if (!all && !refusalsToTell) {
      return heartbeat;
    }
    refusalsToTell = false;
    return heartbeat.with(history.refusals(now), history.reports(now));
  }

  private void recordRefusal(CrashRefusal refusal, String source, GatewayStep step) {
    refusalAdded = true;
    refusalsToTell = true;
    refusalsToSave |= !source.equals(SOURCE_STORE);
    step.log(
        EventCode.CRASH_CAUSE_FOUND,
        "traits",
        refusal.traits(),
        "crashes",
        refusal.crashes(),
        "refused_for_ms",
        refusal.remainingMillis(),
        "source",
        source);
  }

  private void logCleared(List<RequestTrait> cleared, String source, GatewayStep step) {
    step.log(EventCode.CRASH_SUSPECT_CLEARED, "traits", cleared, "source", source);
  }

  private Map<RequestTrait, Integer> counts(CrashReport report) {
    Map<RequestTrait, Integer> counts = new HashMap<>();
    report.traits().forEach(trait -> counts.put(trait, history.count(trait)));
    return counts;
  }

  /** Also sends to nodes that exchange no heartbeats with this one. */
  private void sendToAllPeers(FleetMessage message, GatewayStep step) {
    for (NodeAddress peer : peers.addresses()) {
      step.emit(new GatewayEffect.SendPeer(peer, message));
    }
  }

  /**
   * A suspected request at a runner.
   *
   * @param exchange the request
   * @param attempt number of the attempt
   * @param runner identifier of the runner
   * @param suspects its suspected traits when it was sent
   */
  private record Probe(long exchange, int attempt, String runner, List<RequestTrait> suspects) {

    /** Returns whether the runner may still crash: the response has not begun or just began. */
    boolean isOpen(PendingForwardTable pending, Instant now) {
      return pending.get(exchange).filter(forward -> isOpen(forward, now)).isPresent();
    }

    private boolean isOpen(PendingForward forward, Instant now) {
      return forward
          .live(attempt)
          .filter(
              live ->
                  forward.startedAt().isBefore(live.sentAt())
                      || now.isBefore(forward.startedAt().plus(PROBE_TIME)))
          .isPresent();
    }
  }
}
