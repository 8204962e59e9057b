"""One answer of a runner states a keep-alive time with wrong digits."""
import os, sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from lots import play
from world import main


def spoil(runner, request):
    return [("Keep-Alive", "timeout=9223372036854775807")]


main(lambda world: play(world, spoil), os.path.join(HERE, "record.txt"))
