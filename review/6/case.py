"""One answer of a runner has zero bytes in place of its text."""
import os, sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from lots import EVENT_BYTES, play
from world import main


def spoil(runner, request):
    sound = runner.text
    runner.text = lambda name, number: "\0" * EVENT_BYTES if name == request else sound(name, number)


main(lambda world: play(world, spoil), os.path.join(HERE, "record.txt"))
