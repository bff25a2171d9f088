package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.KnownRedCondition;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.PeerStatus;
import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.forward.CrashReport;
import dev.wisteriarail.core.forward.RequestTrait;
import dev.wisteriarail.core.forward.RunnerLoss;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** BUDGET: different requests with one part in common crashed one runner after the other. */
@ExtendWith(KnownRedCondition.class)
class CrashingPartTest {

  private static final AttemptResult CRASH = new AttemptResult.Broken("reset", false, "", true);

  private final CoreHarness node = CoreHarness.ready();

  /** Lets a request with the given parts crash its runner, if it is sent to one. */
  private void crash(String route, String... parts) {
    long exchange = node.arrive(route, List.of(parts));
    List<GatewayEffect.SendAttempt> sends = node.take(GatewayEffect.SendAttempt.class);
    if (!sends.isEmpty()) {
      node.updateAttempt(exchange, sends.getLast().attempt(), CRASH);
    }
    node.pass(Duration.ofSeconds(4));
  }

  @Test
  void requestsWithOnePartThatCrashesRunnersAreRefused() {
    for (int i = 0; i < 5; i++) {
      crash("report", "shared", "deadly", "own-" + i);
    }
    node.take(GatewayEffect.class);
    node.arrive("report", List.of("shared", "deadly", "own-6"));
    List<GatewayEffect> effects = node.take(GatewayEffect.class);
    assertThat(effects.stream().filter(GatewayEffect.SendAttempt.class::isInstance).toList())
        .isEmpty();
    GatewayEffect.Refuse refusal =
        effects.stream()
            .filter(GatewayEffect.Refuse.class::isInstance)
            .map(GatewayEffect.Refuse.class::cast)
            .findFirst()
            .orElseThrow();
    assertThat(refusal.code()).isEqualTo(ResultCode.CRASHING_REQUEST);
    assertThat(refusal.retryAfter()).isPresent();
  }

  private GatewayEffect.Refuse onlyRefusal(String... parts) {
    node.take(GatewayEffect.class);
    node.arrive("report", List.of(parts));
    return node.take(GatewayEffect.Refuse.class).getFirst();
  }

  private static CrashReport report(String runner, String... parts) {
    return new CrashReport(
        new RunnerLoss(new RunnerRun(runner, 1), 0),
        40,
        Arrays.stream(parts).map(RequestTrait::ofPart).toList());
  }

  @Test
  void crashesThatPeersTellCountLikeOwnOnes() {
    for (int i = 0; i < 3; i++) {
      node.receive("n" + (i + 2), FleetMessage.CrashTold.ofLost(i, report("x" + i, "deadly")));
      node.pass(Duration.ofMillis(700));
    }
    assertThat(onlyRefusal("shared", "deadly", "own").code())
        .isEqualTo(ResultCode.CRASHING_REQUEST);
  }

  /** A node that starts in the middle, or missed the messages, learns from one heartbeat. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void heartbeatTellsOneNodeThatMissedIt(boolean refusal) {
    NodeAddress peer = CoreHarness.peerAddress("n2");
    FleetMessage.Beat beat = FleetMessage.Beat.of(peer, List.of(), PeerStatus.UNKNOWN, List.of());
    CrashRefusal refused =
        new CrashRefusal(Set.of(RequestTrait.ofPart("deadly")), 3, 60_000, 300_000);
    List<CrashReport> reports =
        List.of(reportOfAge("x1", 9_000), reportOfAge("x2", 6_000), reportOfAge("x3", 3_000));
    node.receive(
        "n2", refusal ? beat.with(List.of(refused), List.of()) : beat.with(List.of(), reports));
    assertThat(onlyRefusal("shared", "deadly", "own").code())
        .isEqualTo(ResultCode.CRASHING_REQUEST);
  }

  private static CrashReport reportOfAge(String runner, long ageMillis) {
    return new CrashReport(
        new RunnerLoss(new RunnerRun(runner, 1), ageMillis),
        ageMillis + 40,
        List.of(RequestTrait.ofPart("deadly")));
  }

  /** A node that read an outdated refusal from the store must not go on refusing sound parts. */
  @Test
  void peerThatRefusesOneSoundPartIsToldSo() {
    long whole = node.arrive("report", List.of("session", "own"));
    node.updateAttempt(whole, 1, new AttemptResult.Started());
    node.updateAttempt(whole, 1, new AttemptResult.Finished(200));
    node.take(GatewayEffect.class);
    NodeAddress peer = CoreHarness.peerAddress("n2");
    CrashRefusal outdated =
        new CrashRefusal(Set.of(RequestTrait.ofPart("session")), 3, 60_000, 300_000);
    node.receive(
        "n2",
        FleetMessage.Beat.of(peer, List.of(), PeerStatus.UNKNOWN, List.of())
            .with(List.of(outdated), List.of()));
    assertThat(
            node.take(GatewayEffect.SendPeer.class).stream()
                .map(GatewayEffect.SendPeer::message)
                .toList())
        .contains(FleetMessage.CrashTold.ofSound(List.of(RequestTrait.ofPart("session"))));
    node.arrive("report", List.of("session", "own-2"));
    assertThat(node.take(GatewayEffect.SendAttempt.class)).hasSize(1);
  }

  /** A proof that only the reporting node gets must not leave the others accusing a sound part. */
  @Test
  void nodeOfLargeFleetSendsOnThatPartsItReportedAreSound() {
    for (int i = 0; i < 120; i++) {
      String name = "p" + i;
      NodeAddress peer = CoreHarness.peerAddress(name);
      node.receive(name, FleetMessage.Beat.of(peer, List.of(), PeerStatus.UNKNOWN, List.of()));
    }
    crash("report", "session", "own");
    node.take(GatewayEffect.class);
    FleetMessage sound = FleetMessage.CrashTold.ofSound(List.of(RequestTrait.ofPart("session")));
    node.receive("p7", sound);
    assertThat(tellings(sound)).isAtLeast(120);
    node.receive("p8", sound);
    assertThat(tellings(sound)).isEqualTo(0);
  }

  private long tellings(FleetMessage message) {
    return node.take(GatewayEffect.SendPeer.class).stream()
        .filter(send -> send.message().equals(message))
        .count();
  }

  /** After all nodes have restarted at once, the store is all that knows. */
  @Test
  void storeTellsOneNodeAfterAllRestarted() {
    CrashRefusal refused =
        new CrashRefusal(Set.of(RequestTrait.ofPart("deadly")), 3, 60_000, 300_000);
    node.handle(
        new GatewayEvent.StoreReadCompleted(
            new StoreRead.CrashRefusals(), new StoreAnswer.CrashRefusalsRead(List.of(refused), 0)));
    GatewayEffect.Refuse refusal = onlyRefusal("shared", "deadly", "own");
    assertThat(refusal.code()).isEqualTo(ResultCode.CRASHING_REQUEST);
    assertThat(refusal.retryAfter().orElseThrow()).isAtMost(Duration.ofMinutes(1));
  }

  @Test
  void refusalIsWrittenToTheStore() {
    List<GatewayEffect.SaveRefusal> saved = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      long exchange = node.arrive("report", List.of("shared", "deadly", "own-" + i));
      List<GatewayEffect.SendAttempt> sends = node.take(GatewayEffect.SendAttempt.class);
      if (!sends.isEmpty()) {
        node.updateAttempt(exchange, sends.getLast().attempt(), CRASH);
      }
      node.pass(Duration.ofSeconds(4));
      saved.addAll(node.take(GatewayEffect.SaveRefusal.class));
    }
    assertThat(saved).isNotEmpty();
    assertThat(saved.getFirst().refusal().traits()).contains(RequestTrait.ofPart("deadly"));
  }

  /** From the first crash on, requests with a suspected part go one at a time. */
  @Test
  void suspectedPartIsSentOnceAtOneTimeUntilItsResponseGoesOn() {
    crash("report", "shared", "suspect", "own-1");
    final long first = node.arrive("report", List.of("shared", "suspect", "own-2"));
    assertThat(node.take(GatewayEffect.SendAttempt.class)).hasSize(1);
    node.arrive("report", List.of("shared", "suspect", "own-3"));
    assertThat(node.take(GatewayEffect.SendAttempt.class)).isEmpty();
    node.arrive("report", List.of("other", "own-4"));
    assertThat(node.take(GatewayEffect.SendAttempt.class)).hasSize(1);
    node.updateAttempt(first, 1, new AttemptResult.Started());
    assertThat(node.take(GatewayEffect.SendAttempt.class)).isEmpty();
    node.pass(Duration.ofSeconds(1));
    assertThat(node.take(GatewayEffect.SendAttempt.class)).hasSize(1);
  }

  /** Streams that crashes of another cause cut are no reason to refuse what they share. */
  @Test
  void crashAccusesNoPartWithOneCompleteResponse() {
    long whole = node.arrive("report", List.of("shared", "session", "own"));
    node.updateAttempt(whole, 1, new AttemptResult.Started());
    node.updateAttempt(whole, 1, new AttemptResult.Finished(200));
    for (int i = 0; i < 5; i++) {
      long exchange = node.arrive("report", List.of("shared", "session", "own-" + i));
      node.updateAttempt(exchange, 1, new AttemptResult.Started());
      node.updateAttempt(exchange, 1, new AttemptResult.Broken("reset", true, "2", true));
      node.pass(Duration.ofSeconds(4));
    }
    node.take(GatewayEffect.class);
    node.arrive("report", List.of("shared", "session", "own-9"));
    assertThat(node.take(GatewayEffect.SendAttempt.class)).hasSize(1);
  }

  /** What waits or runs without a response when the cause is found ends at once. */
  @Test
  void requestAtOneRunnerIsCancelledWhenItsPartIsFound() {
    node.arrive("report", List.of("shared", "deadly", "own-1"));
    for (int i = 0; i < 3; i++) {
      node.receive("n2", FleetMessage.CrashTold.ofLost(i, report("x" + i, "deadly")));
      node.pass(Duration.ofMillis(700));
    }
    List<GatewayEffect> effects = node.take(GatewayEffect.class);
    assertThat(effects.stream().filter(GatewayEffect.CancelAttempt.class::isInstance).toList())
        .hasSize(1);
    assertThat(
            effects.stream()
                .filter(GatewayEffect.Refuse.class::isInstance)
                .map(effect -> ((GatewayEffect.Refuse) effect).code()))
        .containsExactly(ResultCode.OUTCOME_UNKNOWN);
  }

  /** A build that knows only whole requests sends a fingerprint and nothing else. */
  @Test
  void messageOfOneEarlierVersionCountsForItsContent() throws Exception {
    String earlier = "{\"type\":\"CrashTold\",\"fingerprint\":77}";
    for (int i = 0; i < 3; i++) {
      node.receive("n2", (FleetMessage) Codecs.json().readValue(earlier, PeerMessage.class));
      node.pass(Duration.ofSeconds(3));
    }
    node.take(GatewayEffect.class);
    node.arrive("report", 77L);
    assertThat(node.take(GatewayEffect.Refuse.class)).hasSize(1);
  }
}
