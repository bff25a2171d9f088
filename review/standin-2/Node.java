import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One machine of the system: a process with the command and the settings of the deploy files. */
final class Node implements AutoCloseable {

  final String name;
  final String ip;
  final int callers;
  final int ready;
  final int peers;
  private final Path root;
  private final Path settings;
  private final Path log;
  private final CaseLog record;
  private Process process;

  Node(Path root, Path folder, String name, CaseLog record) throws IOException {
    this(root, folder, name, name, record);
  }

  Node(Path root, Path folder, String fileName, String name, CaseLog record) throws IOException {
    this.root = root;
    this.name = name;
    this.record = record;
    ip = freeAddress();
    int[] ports = freePorts(ip, 3);
    callers = ports[0];
    ready = ports[1];
    peers = ports[2];
    settings = folder.resolve(fileName + ".toml");
    log = folder.resolve(fileName + ".log");
  }

  /** Returns a loopback address at which the port of the metrics is free. */
  private static String freeAddress() throws IOException {
    for (int i = 0; i < 200; i++) {
      String ip =
          "127." + (1 + (int) (Math.random() * 200)) + "." + (int) (Math.random() * 250) + "."
              + (1 + (int) (Math.random() * 250));
      try (ServerSocket probe = new ServerSocket()) {
        probe.bind(new InetSocketAddress(InetAddress.getByName(ip), 9464));
        return ip;
      } catch (IOException taken) {
        // The next address is tried.
      }
    }
    throw new IOException("no loopback address with a free port 9464");
  }

  private static int[] freePorts(String ip, int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    try {
      for (int i = 0; i < count; i++) {
        ServerSocket socket = new ServerSocket();
        sockets.add(socket);
        socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
        ports[i] = socket.getLocalPort();
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return ports;
  }

  String peerAddress() {
    return ip + ":" + peers;
  }

  /**
   * Fills in deploy/node.toml as the platform does: sections first, then single values; what has no
   * value is left out.
   */
  void configure(String storeAddress, List<String> seeds, Map<String, String> bounds)
      throws IOException {
    Map<String, String> values = new HashMap<>();
    bounds.forEach((bound, value) -> values.put("bounds." + bound, value));
    values.put("node_name", name);
    values.put("role", "gateway");
    values.put("machine_class", "frontend");
    values.put("ip", ip);
    values.put("zone", "z-a");
    values.put("region", "z");
    values.put("limits.link_mbps", "1000.0");
    values.put("limits.cpu_share", "0.75");
    values.put("limits.cores", "1");
    values.put("limits.memory_mb", "430");
    values.put("limits.file_descriptors", "4100");
    values.put("limits.disk_mb", "0");
    values.put("listen.frontend", ip + ":" + callers);
    values.put("listen.ready", ip + ":" + ready);
    values.put("listen.control_plane", peerAddress());
    values.put("platform.address", storeAddress);
    String text = Files.readString(root.resolve("deploy/node.toml"));
    Matcher sections =
        Pattern.compile("(?s)\\{\\{([#^])([^}]+)}}(.*?)\\{\\{/\\2}}").matcher(text);
    text =
        sections.replaceAll(
            found -> Matcher.quoteReplacement(section(found, seeds, values)));
    Matcher single = Pattern.compile("\\{\\{([^}]+)}}").matcher(text);
    text =
        single.replaceAll(
            found -> Matcher.quoteReplacement(values.getOrDefault(found.group(1), "")));
    Files.writeString(settings, text);
  }

  private static String section(
      MatchResult found, List<String> seeds, Map<String, String> values) {
    String content = found.group(3);
    if (found.group(2).equals("seeds")) {
      StringBuilder list = new StringBuilder();
      for (int i = 0; i < seeds.size(); i++) {
        list.append(
            content
                .replace("{{.}}", seeds.get(i))
                .replace("{{,}}", i < seeds.size() - 1 ? "," : ""));
      }
      return list.toString();
    }
    boolean present = !values.getOrDefault(found.group(2), "false").equals("false");
    return present == found.group(1).equals("#") ? content : "";
  }

  void start() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    List<String> command = new ArrayList<>();
    for (String word : run.group(1).split(" ")) {
      command.add(word.equals("/etc/wisteriarail/node.toml") ? settings.toString() : word);
    }
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
    Process started = process;
    started
        .onExit()
        .thenAccept(
            ended ->
                record.line(
                    "process " + ended.pid() + " of " + name + " ended, exit code "
                        + ended.exitValue()));
    record.line("process " + process.pid() + " of " + name + " started");
  }

  /** Returns the answer of the readiness check, 0 if there is none. */
  int readiness() {
    try (Http.Connection connection = new Http.Connection(ip, ready)) {
      return connection
          .exchange(
              "GET",
              "/wisteriarail/readiness",
              Map.of("Host", ip),
              new byte[0],
              1_000,
              sent -> {})
          .status();
    } catch (IOException none) {
      return 0;
    }
  }

  boolean awaitReady(long millis) throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < until) {
      if (readiness() == 200) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  int exitCode() {
    return process.isAlive() ? -1 : process.exitValue();
  }

  /** Ends the process at once, as a loss of power does. */
  void kill() throws InterruptedException {
    if (isAlive()) {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }

  /** Sends a signal to the process. */
  void signal(String signal) throws IOException, InterruptedException {
    record.line("SIG" + signal + " to " + name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Returns the lines of the process's log that contain a text. */
  List<String> logLines(String text) throws IOException {
    List<String> found = new ArrayList<>();
    for (String line : Files.readAllLines(log)) {
      if (line.contains(text)) {
        found.add(line);
      }
    }
    return found;
  }

  @Override
  public void close() {
    if (isAlive()) {
      process.destroyForcibly();
    }
  }
}
