package dev.wisteriarail.soak;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * One gateway node in a separate process, which is started, signalled and killed by its process
 * identifier.
 *
 * <p>Life cycle: {@link #start} any number of times, then {@link #kill}. Thread-safe.
 */
final class NodeProcess {

  /** Exit code of a JVM that SIGHUP ended before it handled that signal. */
  private static final int HANGUP_EXIT_CODE = 129;

  private static final Duration LOG_POLL_INTERVAL = Duration.ofMillis(10);

  private final String name;
  private final Path settingsFile;
  private final Path logFile;
  private final List<String> ownExits = new ArrayList<>();
  private final List<Long> stopTimes = new ArrayList<>();

  /** The last process that got SIGHUP before it had logged its start. */
  private Process hungUpEarly;

  /** The last process that the soak asked to end. */
  private Process signalled;

  private volatile Process process;

  /** The part of the log that the process writes. */
  private volatile NodeLog log;

  private NodeProcess(String name, Path settings, Path log) {
    this.name = name;
    this.settingsFile = settings;
    this.logFile = log;
    this.log = NodeLog.ofFile(log);
  }

  /**
   * Creates a node and writes its settings, but does not start it.
   *
   * @param name the node's identifier
   * @param toml the node's settings
   * @param directory directory of the settings file and the log file
   */
  static NodeProcess create(String name, String toml, Path directory) throws SettingsException {
    Path settings = directory.resolve(name + ".toml");
    write(settings, toml);
    return new NodeProcess(name, settings, directory.resolve(name + ".log"));
  }

  private static void write(Path path, String text) throws SettingsException {
    try {
      Files.writeString(path, text);
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.SETTINGS_INVALID, "soak", "cannot write " + path, failure);
    }
  }

  /** Replaces the settings file; a running process reads it after SIGHUP. */
  void writeSettings(String toml) throws SettingsException {
    write(settingsFile, toml);
  }

  /**
   * Starts the process unless it is running.
   *
   * @param clockOffset offset of the node's wall clock from the machine's clock
   */
  synchronized void start(Duration clockOffset) throws SettingsException {
    if (isAlive()) {
      return;
    }
    String java = ProcessHandle.current().info().command().orElse("java");
    // The JVM handles no SIGHUP if its process inherited an ignored one, as under nohup.
    ProcessBuilder builder =
        new ProcessBuilder(
            List.of(
                "env",
                "--default-signal=HUP",
                java,
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dwisteriarail.log=json",
                "-Dwisteriarail.clock.offset_ms=" + clockOffset.toMillis(),
                "-cp",
                System.getProperty("java.class.path"),
                "dev.wisteriarail.cli.Main",
                "serve",
                "--config",
                settingsFile.toString()));
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
    try {
      log = NodeLog.afterEndOf(logFile);
      process = builder.start();
      CompletableFuture<Void> _ = process.onExit().thenAccept(this::recordExit);
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.SETTINGS_INVALID, "soak", "cannot start " + name, failure);
    }
  }

  private synchronized void recordExit(Process ended) {
    boolean hungUp = ended.equals(hungUpEarly) && ended.exitValue() == HANGUP_EXIT_CODE;
    if (!ended.equals(signalled) && !hungUp) {
      ownExits.add(name + " ended by itself with code " + ended.exitValue());
    }
  }

  /** Returns descriptions of the exits that no signal of the soak caused. */
  synchronized List<String> ownExits() {
    return List.copyOf(ownExits);
  }

  /** Returns the log of the process that was started last. */
  NodeLog log() {
    return log;
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns whether the running process has a socket with a local port. */
  boolean hasSocket(int localPort) {
    return isAlive() && SocketTable.hasSocket(process.pid(), localPort);
  }

  /** Sends SIGTERM. */
  synchronized void terminate() {
    boolean first = process != null && !process.equals(signalled);
    signalled = process;
    if (isAlive()) {
      if (first) {
        stopTimes.add(System.nanoTime());
      }
      process.destroy();
    }
  }

  /** Returns when processes of this node got their first SIGTERM, in nanoseconds. */
  synchronized List<Long> stopTimes() {
    return List.copyOf(stopTimes);
  }

  /** Sends SIGKILL and waits for the process to exit. */
  void kill() throws InterruptedException {
    Process killed;
    synchronized (this) {
      signalled = process;
      killed = process;
    }
    if (killed != null && killed.isAlive()) {
      killed.destroyForcibly();
      killed.waitFor();
    }
  }

  /** Sends a signal that the Java API does not support, such as STOP, CONT or HUP. */
  void signal(String signal) throws SettingsException, InterruptedException {
    if (!isAlive()) {
      return;
    }
    try {
      if (signal.equals("HUP") && !log.contains(EventCode.NODE_STARTED)) {
        synchronized (this) {
          hungUpEarly = process;
        }
      }
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.SETTINGS_INVALID, "soak", "cannot signal " + name, failure);
    }
  }

  /**
   * Waits until the process has logged an event; returns whether it did so before it ended and
   * within the limit.
   */
  boolean awaitEvent(EventCode event, Duration limit)
      throws SettingsException, InterruptedException {
    long deadline = System.nanoTime() + limit.toNanos();
    try {
      while (!log.contains(event)) {
        if (!isAlive() || System.nanoTime() > deadline) {
          return log.contains(event);
        }
        Thread.sleep(LOG_POLL_INTERVAL);
      }
      return true;
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.FILE_UNREADABLE, logFile.toString(), "cannot be read", failure);
    }
  }

  /** Waits for the process to exit; returns whether it exited within the limit. */
  boolean awaitExit(Duration limit) throws InterruptedException {
    return process == null || process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
  }
}
