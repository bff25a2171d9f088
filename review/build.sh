#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/; needs only the JDK that ./build uses.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
javac=
for home in "${JAVA_HOME:-}" /usr/lib/jvm/* /opt/java/* /opt/jdk* "$HOME"/.sdkman/candidates/java/*; do
  if [ -n "$home" ] && [ -x "$home/bin/javac" ] && grep -q '^JAVA_VERSION="25\b' "$home/release"; then
    javac="$home/bin/javac"
    break
  fi
done
[ -n "$javac" ] || { echo "error: no JDK 25 found; set JAVA_HOME to it" >&2; exit 3; }
mkdir -p target/review
"$javac" -d target/review review/standin/*.java
