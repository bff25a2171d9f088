import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with milliseconds since the start. */
final class CaseLog implements AutoCloseable {

  private final PrintWriter out;
  private final long start = System.nanoTime();

  CaseLog(Path folder) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), false);
  }

  long millis() {
    return (System.nanoTime() - start) / 1_000_000;
  }

  synchronized void line(String text) {
    out.println(String.format("%8.3f s  %s", millis() / 1000.0, text));
  }

  /** Writes a line that also goes to standard output. */
  void say(String text) {
    line(text);
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
