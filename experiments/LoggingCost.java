import dev.wisteriarail.standin.LoopbackSettings;
import dev.wisteriarail.standin.PlatformStandin;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Processor time of a node's logging: one node process before stand-ins, the same requests with its
 * log at level info and off in turn.
 *
 * <p>Usage: {@code java -cp target/wisteriarail.jar experiments/LoggingCost.java ROUNDS REQUESTS
 * PER_SECOND}
 */
public final class LoggingCost {

  private static final int CALLERS = 16;
  private static final int WARM_UP_REQUESTS = 3_000;
  private static final int WARM_UP_PER_SECOND = 300;
  private static final double TICKS_A_SECOND = 100;

  private LoggingCost() {}

  public static void main(String[] args) throws Exception {
    int rounds = Integer.parseInt(args[0]);
    int requests = Integer.parseInt(args[1]);
    int perSecond = Integer.parseInt(args[2]);
    for (int round = 1; round <= rounds; round++) {
      for (String level : List.of("info", "off")) {
        System.out.println(
            "round " + round + " level " + level + ": " + run(level, requests, perSecond));
      }
    }
    System.exit(0);
  }

  private static String run(String level, int requests, int perSecond) throws Exception {
    Path directory = Files.createTempDirectory("logging-cost");
    Path log = directory.resolve("node.log");
    try (PlatformStandin platform = PlatformStandin.start(1, 2)) {
      LoopbackSettings settings = LoopbackSettings.of("n1", platform.store().address());
      Path toml = directory.resolve("n1.toml");
      Files.writeString(toml, settings.toml());
      Process node =
          new ProcessBuilder(
                  ProcessHandle.current().info().command().orElse("java"),
                  "-Xmx96m",
                  "-Xss256k",
                  "-XX:+UseSerialGC",
                  "-XX:TieredStopAtLevel=1",
                  "-Dwisteriarail.log=json",
                  "-Dwisteriarail.log.level=" + level,
                  "-cp",
                  System.getProperty("java.class.path"),
                  "dev.wisteriarail.cli.Main",
                  "serve",
                  "--config",
                  toml.toString())
              .redirectErrorStream(true)
              .redirectOutput(log.toFile())
              .start();
      try {
        HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        URI uri = URI.create("http://127.0.0.1:" + settings.callerPort() + "/lookup/1");
        while (status(http, uri, "first") != 200) {
          Thread.sleep(100);
        }
        send(http, uri, WARM_UP_REQUESTS, WARM_UP_PER_SECOND);
        long bytesBefore = Files.size(log);
        long ticksBefore = ticks(node.pid());
        long start = System.nanoTime();
        int served = send(http, uri, requests, perSecond);
        double seconds = (System.nanoTime() - start) / 1e9;
        double processor = (ticks(node.pid()) - ticksBefore) / TICKS_A_SECOND;
        Thread.sleep(1_000);
        return "served %d in %.1f s, processor %.2f s, %.1f us a request, log %d bytes"
            .formatted(
                served,
                seconds,
                processor,
                processor * 1e6 / requests,
                Files.size(log) - bytesBefore);
      } finally {
        node.destroyForcibly().waitFor();
      }
    }
  }

  /** Sends requests at a steady pace; returns how many got a 200. */
  private static int send(HttpClient http, URI uri, int requests, int perSecond) throws Exception {
    AtomicInteger served = new AtomicInteger();
    AtomicInteger next = new AtomicInteger();
    long start = System.nanoTime();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(
          Thread.ofPlatform()
              .start(
                  () -> {
                    int number = next.getAndIncrement();
                    while (number < requests) {
                      long due = start + number * 1_000_000_000L / perSecond;
                      LockSupport.parkNanos(due - System.nanoTime());
                      if (status(http, uri, "r" + System.nanoTime() + "-" + number) == 200) {
                        served.incrementAndGet();
                      }
                      number = next.getAndIncrement();
                    }
                  }));
    }
    for (Thread caller : callers) {
      caller.join();
    }
    return served.get();
  }

  private static int status(HttpClient http, URI uri, String id) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(uri)
              .header("X-Wisteriarail-Request-Id", id)
              .header("X-Wisteriarail-Deadline-Ms", "5000")
              .build();
      return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (Exception notYet) {
      return 0;
    }
  }

  /** Returns the processor time of a process, user and system, in clock ticks. */
  private static long ticks(long pid) throws Exception {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
  }
}
