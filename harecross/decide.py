"""The decision module by its old name: what it holds stands in harecross/policy/."""

from harecross.policy.balancer import Balancer
from harecross.policy.controller import GradientController

__all__ = ["Balancer", "GradientController"]
