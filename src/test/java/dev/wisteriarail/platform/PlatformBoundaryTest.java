package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests that platform names occur only in the adapter and that it contains no decision logic. */
class PlatformBoundaryTest {

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("dev.wisteriarail");

  private static final Pattern PLATFORM_NAMES =
      Pattern.compile("X-Wisteriarail|/wisteriarail/(log|order|report)|fencing_token|keyed\\.");

  @Test
  void adapterDecidesNothing() {
    noClasses()
        .that()
        .resideInAPackage("dev.wisteriarail.platform..")
        .should()
        .dependOnClassesThat()
        .haveNameMatching(
            ".*\\.core\\.(fleet\\.(Coordinator|ModelPlanner|OrderLease|PeerTable|RunnerDirectory)"
                + "|forward\\.(RunnerStateTable|RunnerScoring|WaitRule|RetryBudget|RunnerHealth)"
                + "|gateway\\.(GatewayCore|Forwarder))")
        .check(CLASSES);
  }

  @Test
  void onlyAssemblingCodeKnowsTheAdapter() {
    noClasses()
        .that()
        .resideOutsideOfPackages(
            "dev.wisteriarail.platform..", "dev.wisteriarail.cli..", "dev.wisteriarail.demo..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("dev.wisteriarail.platform..")
        .check(CLASSES);
  }

  @Test
  void namesOfTheWireStandInTheAdapterOnly() throws IOException {
    Path root = Path.of("src", "main", "java", "dev", "wisteriarail");
    List<Path> allowed = List.of(root.resolve("platform"), root.resolve("standin"));
    try (Stream<Path> files = Files.walk(root)) {
      List<Path> leaks =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> allowed.stream().noneMatch(file::startsWith))
              .filter(PlatformBoundaryTest::namesTheWire)
              .toList();
      assertThat(leaks).isEmpty();
    }
  }

  private static boolean namesTheWire(Path file) {
    try {
      return PLATFORM_NAMES.matcher(Files.readString(file)).find();
    } catch (IOException failure) {
      throw new AssertionError(failure);
    }
  }
}
