package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.gateway.CallerExchange;
import dev.wisteriarail.gateway.CallerProtocol;
import dev.wisteriarail.gateway.PlatformClient;
import dev.wisteriarail.gateway.RunnerProtocol;
import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that an exception in an adapter ends in a result that the core and the caller get. */
class EffectFaultTest {

  /** How long a caller may wait for an answer; far below the requests' time limit of 5 s. */
  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(3);

  /** How long an answer of a free runner may take; far below the first ejection of a runner. */
  private static final Duration PROMPT_ANSWER = Duration.ofMillis(300);

  private static final String REQUEST_ID = "X-Wisteriarail-Request-Id";

  /** Number of calls of each kind that fail. */
  private static final int FAULTS = 2;

  /** Stands for the status of a response that was cut. */
  private static final int CUT = 0;

  /** What happens in a call. */
  enum Fault {
    EXCEPTION,
    ERROR,
    /** The call is made, and throws an exception afterwards. */
    EXCEPTION_AFTER_THE_CALL
  }

  // Faults of the platform client

  @ParameterizedTest
  @CsvSource({
    "readStore, EXCEPTION",
    "readStore, ERROR",
    "readStore, EXCEPTION_AFTER_THE_CALL",
    "callLease, EXCEPTION",
    "callLease, ERROR",
    "callLease, EXCEPTION_AFTER_THE_CALL",
    "registerNode, EXCEPTION",
    "registerNode, EXCEPTION_AFTER_THE_CALL",
    "sendOrder, EXCEPTION",
    "sendOrder, ERROR",
    "sendOrder, EXCEPTION_AFTER_THE_CALL",
    "requestReport, EXCEPTION",
    "requestReport, EXCEPTION_AFTER_THE_CALL"
  })
  void callThatFailsIsMadeAgain(String method, Fault fault) throws Exception {
    try (GatewayFleet fleet =
        GatewayFleet.start(
            2,
            2,
            1,
            GatewayFleet.Wrappers.ofClients(
                client -> faulty(PlatformClient.class, client, method, fault)))) {
      assertThat(fleet.send(0, "GET", "/lookup/1", "").statusCode()).isEqualTo(200);
      fleet.await(() -> isServed(fleet, 1, "POST", "/chat/1", "m1"));
      fleet.platform().crash("plain-0");
      fleet.platform().restart("plain-0");
      fleet.await(() -> isServed(fleet, 1, "GET", "/lookup/1", ""));
    }
  }

  // Faults of requests

  /** A request that was not sent is sent to another runner, even if it may run only once. */
  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"EXCEPTION", "ERROR"})
  void requestThatCannotBeSentIsSentToAnotherRunner(Fault fault) throws Exception {
    try (GatewayFleet fleet =
        GatewayFleet.start(
            1,
            0,
            3,
            GatewayFleet.Wrappers.ofProtocols(
                UnaryOperator.identity(),
                protocol -> faulty(RunnerProtocol.class, protocol, "addHeaders", fault)))) {
      fleet.await(() -> fleet.platform().runners().size() == 3);
      long start = System.nanoTime();
      assertThat(fleet.send(0, "POST", "/order/1", "", "once", "b").statusCode()).isEqualTo(200);
      assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(ANSWER_LIMIT);
      assertThat(runs(fleet, "once")).isEqualTo(1);
    }
  }

  /** A request that no attempt can send is refused, and others get all runners afterwards. */
  @Test
  void requestThatCanNeverBeSentHarmsNoOther() throws Exception {
    Set<String> faulty = Set.of("bad-0", "bad-1", "bad-2");
    try (GatewayFleet fleet =
        GatewayFleet.start(
            1,
            0,
            3,
            GatewayFleet.Wrappers.ofProtocols(
                UnaryOperator.identity(), protocol -> faultyForRequests(protocol, faulty)))) {
      fleet.await(() -> fleet.platform().runners().size() == 3);
      for (String request : faulty) {
        long start = System.nanoTime();
        HttpResponse<String> refusal = fleet.send(0, "POST", "/order/1", "", request, "b");
        assertThat(refusal.statusCode()).isEqualTo(503);
        assertThat(refusal.headers().firstValue("X-Result-Code"))
            .hasValue(ResultCode.SENDING_FAILED.label());
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(ANSWER_LIMIT);
        assertThat(runs(fleet, request)).isEqualTo(0);
        long next = System.nanoTime();
        assertThat(fleet.send(0, "POST", "/order/1", "").statusCode()).isEqualTo(200);
        assertThat(Duration.ofNanos(System.nanoTime() - next)).isLessThan(PROMPT_ANSWER);
      }
    }
  }

  private static RunnerProtocol faultyForRequests(RunnerProtocol delegate, Set<String> requests) {
    return proxy(
        RunnerProtocol.class,
        (proxy, called, arguments) -> {
          if (called.getName().equals("addHeaders")
              && requests.contains(
                  ((CallerExchange) arguments[0]).request().getHeaders().get(REQUEST_ID))) {
            throw new IllegalStateException("a deliberate fault");
          }
          return call(called, delegate, arguments);
        });
  }

  private static long runs(GatewayFleet fleet, String request) {
    return fleet.platform().runners().stream()
        .flatMap(runner -> runner.executedRequests().stream())
        .filter(request::equals)
        .count();
  }

  /** A caller whose refusal cannot be written does not wait for it. */
  @Test
  void refusalThatCannotBeWrittenEndsTheConnection() throws Exception {
    try (GatewayFleet fleet =
        GatewayFleet.start(
            1,
            0,
            1,
            GatewayFleet.Wrappers.ofProtocols(
                protocol ->
                    faulty(CallerProtocol.class, protocol, "refusalHeaders", Fault.EXCEPTION),
                UnaryOperator.identity()))) {
      long start = System.nanoTime();
      for (int i = 0; i < FAULTS; i++) {
        assertThat(statusOrCut(fleet)).isIn(List.of(CUT, 500));
      }
      assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(ANSWER_LIMIT);
      // A connection that the node has just closed may be used for the next request.
      fleet.await(() -> statusOrCut(fleet) == 404);
    }
  }

  private static int statusOrCut(GatewayFleet fleet) {
    try {
      return fleet.send(0, "POST", "/nowhere/1", "").statusCode();
    } catch (IOException cut) {
      return CUT;
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  // Errors that end the core

  @Test
  void nodeWhoseCoreEndsIsNotReady() throws Exception {
    try (GatewayFleet fleet =
        GatewayFleet.start(
            1,
            0,
            1,
            GatewayFleet.Wrappers.ofProtocols(
                UnaryOperator.identity(),
                protocol -> outOfMemory(RunnerProtocol.class, protocol, "addHeaders")))) {
      assertThat(fleet.send(0, "GET", "/lookup/1", "").statusCode()).isEqualTo(502);
      fleet.node(0).failure().get(ANSWER_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
      assertThat(fleet.isReady(fleet.node(0))).isFalse();
    }
  }

  // Helpers

  private static boolean isServed(
      GatewayFleet fleet, int node, String method, String path, String model) {
    try {
      return fleet.send(node, method, path, model).statusCode() == 200;
    } catch (IOException cut) {
      return false;
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  /** Returns an adapter of which the first calls of a method fail, for each type of argument. */
  private static <T> T faulty(Class<T> type, T delegate, String method, Fault fault) {
    Map<Class<?>, Integer> calls = new ConcurrentHashMap<>();
    return proxy(
        type,
        (proxy, called, arguments) -> {
          boolean fails =
              called.getName().equals(method)
                  && calls.merge(arguments[0].getClass(), 1, Integer::sum) <= FAULTS;
          if (fails && fault == Fault.EXCEPTION) {
            throw new IllegalStateException("a deliberate fault");
          }
          if (fails && fault == Fault.ERROR) {
            throw new NoClassDefFoundError("a deliberate fault");
          }
          Object result = call(called, delegate, arguments);
          if (fails) {
            throw new IllegalStateException("a deliberate fault after the call");
          }
          return result;
        });
  }

  private static <T> T outOfMemory(Class<T> type, T delegate, String method) {
    return proxy(
        type,
        (proxy, called, arguments) -> {
          if (called.getName().equals(method)) {
            throw new OutOfMemoryError("a deliberate fault");
          }
          return call(called, delegate, arguments);
        });
  }

  private static <T> T proxy(Class<T> type, InvocationHandler handler) {
    return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
  }

  private static Object call(Method method, Object target, Object[] arguments) throws Throwable {
    try {
      return method.invoke(target, arguments);
    } catch (InvocationTargetException failure) {
      throw failure.getCause();
    }
  }
}
