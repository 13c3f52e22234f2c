"""x"""


def run_demo(**k): ...
