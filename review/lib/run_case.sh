# Runs case.py of the folder that is the working directory. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run, also when Python or the program is missing or the script itself fails.
command -v python3 >/dev/null || exit 2
[ -x ../../target/release/cyclamengrade ] || exit 2
python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
