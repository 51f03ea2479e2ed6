"""Lists the failed tests, or with --counts the numbers of passed, failed and skipped tests, from Surefire's reports."""
import glob
import sys
import xml.etree.ElementTree as tree

passed = failed = skipped = 0
names = []
for report in sorted(glob.glob("target/*/surefire-reports/TEST-*.xml")):
    for case in tree.parse(report).getroot().iter("testcase"):
        if case.find("failure") is not None or case.find("error") is not None:
            failed += 1
            names.append(case.get("classname").split(".")[-1] + "." + case.get("name").split("(")[0].split("{")[0])
        elif case.find("skipped") is not None:
            skipped += 1
        else:
            passed += 1
if "--counts" in sys.argv:
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
else:
    print("\n".join(names), end="\n" if names else "")
