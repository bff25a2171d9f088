package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.forward.CrashReport;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.RequestTrait;
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.forward.SlotForecast;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * Writes the log events of a request: each decision and the inputs that it is based on. Stateless.
 */
final class ForwardLog {

  private ForwardLog() {}

  static void notFound(ForwardRequest request, long version, GatewayStep step) {
    step.log(
        EventCode.FORWARD_REFUSED,
        "request",
        request.id(),
        "code",
        ResultCode.NOT_FOUND.label(),
        "host",
        request.host(),
        "path",
        request.path(),
        "configuration",
        version);
  }

  static void callerRefused(
      ForwardRequest request,
      RouteSpec route,
      CallerAuthenticator.Decision.Refused refused,
      long version,
      Optional<Duration> age,
      GatewayStep step) {
    step.log(
        EventCode.FORWARD_REFUSED,
        "request",
        request.id(),
        "code",
        refused.code().label(),
        "route",
        route.name(),
        "reason",
        refused.reason(),
        "configuration",
        version,
        "confirmed_ago_ms",
        age.map(Duration::toMillis).orElse(-1L));
  }

  static void waiting(
      PendingForward forward,
      Optional<Duration> startsIn,
      Duration waitTimeLeft,
      GatewayStep step) {
    step.log(
        EventCode.FORWARD_WAITING,
        "request",
        forward.request().id(),
        "service",
        forward.service(),
        "model",
        forward.model(),
        "adapter",
        forward.adapter(),
        "forecast_ms",
        startsIn.map(Duration::toMillis).orElse(-1L),
        "patience_ms",
        waitTimeLeft.toMillis(),
        "rank",
        forward.rank(),
        "tenant",
        tenant(forward),
        "ahead",
        forward.slotWait().map(SlotForecast.Wait::ahead).orElse(-1),
        "slot_wait_ms",
        slotWaitMillis(forward));
  }

  private static String tenant(PendingForward forward) {
    return forward.tenant().map(TenantSpec::name).orElse("");
  }

  private static long slotWaitMillis(PendingForward forward) {
    return forward.slotWait().map(SlotForecast.Wait::expected).map(Duration::toMillis).orElse(-1L);
  }

  static void sent(
      PendingForward forward,
      RunnerEntry runner,
      RunnerChoice choice,
      RunnerStateTable runnerStates,
      GatewayStep step) {
    step.log(
        EventCode.FORWARD_SENT,
        "request",
        forward.request().id(),
        "route",
        forward.route().name(),
        "attempt",
        forward.attempts(),
        "runner",
        runner.id(),
        "running",
        runnerStates.totalRunning(runner),
        "waited_ms",
        Duration.between(forward.arrivedAt(), step.now()).toMillis(),
        "allowance_ms",
        forward.waitedForAllowance().toMillis(),
        "left_ms",
        forward.timeLeft(step.now()).toMillis(),
        "view",
        runnerStates.viewRevision(),
        "choice",
        choice.basis(),
        "estimate",
        choice.estimate(),
        "figure_age_ms",
        choice.ageMillis(),
        "candidates",
        choice.candidates(),
        "rank",
        forward.rank(),
        "tenant",
        tenant(forward));
  }

  static void answered(PendingForward forward, RunnerEntry runner, int status, GatewayStep step) {
    step.log(
        EventCode.FORWARD_ANSWERED,
        "request",
        forward.request().id(),
        "status",
        status,
        "runner",
        runner.id(),
        "attempts",
        forward.attempts(),
        "took_ms",
        Duration.between(forward.arrivedAt(), step.now()).toMillis());
  }

  static void retried(PendingForward forward, String reason, GatewayStep step) {
    step.log(
        forward.answerStarted() ? EventCode.FORWARD_RESUMED : EventCode.FORWARD_RETRIED,
        "request",
        forward.request().id(),
        "after_attempt",
        forward.attempts(),
        "runner",
        forward.runner().map(RunnerEntry::id).orElse(""),
        "reason",
        reason,
        "last_event",
        forward.lastEvent().orElse(""));
  }

  static void kept(PendingForward forward, LiveAttempt ended, String reason, GatewayStep step) {
    step.log(
        EventCode.FORWARD_KEPT,
        "request",
        forward.request().id(),
        "attempt",
        ended.number(),
        "failed_runner",
        ended.runner().id(),
        "reason",
        reason,
        "runner",
        forward.runner().map(RunnerEntry::id).orElse(""));
  }

  static void refused(
      PendingForward forward,
      ResultCode code,
      Optional<Duration> retryAfter,
      RunnerStateTable runnerStates,
      GatewayStep step) {
    step.log(
        EventCode.FORWARD_REFUSED,
        "request",
        forward.request().id(),
        "code",
        code.label(),
        "route",
        forward.route().name(),
        "model",
        forward.model(),
        "adapter",
        forward.adapter(),
        "held_ms",
        Duration.between(forward.arrivedAt(), step.now()).toMillis(),
        "state",
        forward.state(),
        "runner",
        forward.runner().map(RunnerEntry::id).orElse(""),
        "attempts",
        forward.attempts(),
        "may_have_run",
        forward.mayHaveRun(),
        "forecast_ms",
        runnerStates
            .forecast(forward.service(), forward.model(), forward.adapter(), step.now())
            .map(Duration::toMillis)
            .orElse(-1L),
        "return_after_ms",
        retryAfter.map(Duration::toMillis).orElse(-1L),
        "rank",
        forward.rank(),
        "tenant",
        tenant(forward),
        "ahead",
        forward.slotWait().map(SlotForecast.Wait::ahead).orElse(-1),
        "slot_wait_ms",
        slotWaitMillis(forward),
        "slots_freed",
        forward.slotWait().map(SlotForecast.Wait::slots).orElse(-1),
        "slots_freed_in_ms",
        forward.slotWait().map(SlotForecast.Wait::windowMillis).orElse(-1L));
  }

  static void aborted(PendingForward forward, String reason, GatewayStep step) {
    step.log(
        EventCode.FORWARD_CUT,
        "request",
        forward.request().id(),
        "reason",
        reason,
        "runner",
        forward.runner().map(RunnerEntry::id).orElse(""),
        "attempts",
        forward.attempts(),
        "last_event",
        forward.lastEvent().orElse(""),
        "took_ms",
        Duration.between(forward.arrivedAt(), step.now()).toMillis());
  }

  static void crashRecorded(
      PendingForward forward,
      RunnerEntry runner,
      CrashReport report,
      Map<RequestTrait, Integer> counts,
      GatewayStep step) {
    step.log(
        EventCode.CRASH_RECORDED,
        "request",
        forward.request().id(),
        "runner",
        runner.id(),
        "born",
        runner.bornMillis(),
        "traits",
        forward.traits(),
        "suspects",
        counts,
        "sent_ms_ago",
        report.sentAgeMillis(),
        "source",
        "attempt");
  }

  static void crashReceived(
      CrashReport report, String peer, Map<RequestTrait, Integer> counts, GatewayStep step) {
    step.log(
        EventCode.CRASH_RECORDED,
        "runner",
        report.loss().run().id(),
        "born",
        report.loss().run().bornMillis(),
        "suspects",
        counts,
        "sent_ms_ago",
        report.sentAgeMillis(),
        "source",
        peer);
  }

  static void refusedAsCrashing(
      ForwardRequest request, String state, CrashRefusal refusal, GatewayStep step) {
    step.log(
        EventCode.FORWARD_REFUSED,
        "request",
        request.id(),
        "code",
        ResultCode.CRASHING_REQUEST.label(),
        "state",
        state,
        "traits",
        refusal.traits(),
        "crashes",
        refusal.crashes(),
        "return_after_ms",
        refusal.remainingMillis());
  }

  static void callerDisconnected(PendingForward forward, GatewayStep step) {
    step.log(
        EventCode.FORWARD_LEFT,
        "request",
        forward.request().id(),
        "state",
        forward.state(),
        "after_ms",
        Duration.between(forward.arrivedAt(), step.now()).toMillis());
  }
}
