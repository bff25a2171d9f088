package dev.wisteriarail.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks that the core depends on no I/O, threads or clocks. */
class CoreBoundaryTest {

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("dev.wisteriarail");

  @Test
  void coreDependsOnlyOnDataAndCollections() {
    classes()
        .that()
        .resideInAPackage("dev.wisteriarail.core..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "dev.wisteriarail.core..",
            "java.lang",
            "java.lang.invoke",
            "java.lang.runtime",
            "java.time..",
            "java.util",
            "java.util.function",
            "java.util.random",
            "java.util.regex",
            "java.util.stream",
            "java.security",
            "java.nio.charset",
            "com.fasterxml.jackson.annotation")
        .check(CLASSES);
  }

  @Test
  void coreReadsNoClockAndStartsNoThread() {
    noClasses()
        .that()
        .resideInAPackage("dev.wisteriarail.core..")
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .check(CLASSES);
  }

  @Test
  void spiKnowsNoImplementation() {
    noClasses()
        .that()
        .resideInAPackage("dev.wisteriarail.spi..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "dev.wisteriarail.engine..",
            "dev.wisteriarail.logservice..",
            "dev.wisteriarail.peer..",
            "dev.wisteriarail.http..",
            "org.eclipse.jetty..")
        .check(CLASSES);
  }
}
